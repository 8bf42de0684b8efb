package org.primrosegauge.wire.target;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.ServiceId;

/**
 * What an executor tells the instance that it is attached to, at least once in a third of its
 * lease.
 *
 * @param address base address of the executor's HTTP interface
 * @param service service whose requests it answers
 * @param domain failure domain of the executor
 * @param slots most requests that it works on at a time
 * @param connections most connections that it accepts
 * @param inProgress requests that it works on now, of whichever instance
 * @param leaving whether the executor is being shut down and takes no new request
 * @since 0.1
 */
public record ExecutorAnnouncement(
    String address,
    ServiceId service,
    FailureDomainId domain,
    int slots,
    int connections,
    int inProgress,
    boolean leaving) {}
