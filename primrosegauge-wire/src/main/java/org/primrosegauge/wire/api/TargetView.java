package org.primrosegauge.wire.api;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.TargetId;

/**
 * What an operator is told about a target.
 *
 * @param id id of the target
 * @param kind {@code worker} or {@code executor}
 * @param domain failure domain
 * @param rack rack of a worker; null for executors
 * @param state {@code ready}, {@code leaving} or {@code failing}
 * @param used accelerators in use on a worker, or requests in progress on an executor
 * @param capacity all accelerators of a worker, or the slots of an executor
 * @since 0.1
 */
public record TargetView(
    TargetId id,
    String kind,
    FailureDomainId domain,
    String rack,
    String state,
    int used,
    int capacity) {}
