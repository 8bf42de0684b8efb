package org.primrosegauge.wire.api;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;

/**
 * What an operator is told about an instance.
 *
 * @param id id of the instance
 * @param domain its failure domain
 * @param voter whether it keeps the replicated log
 * @param reachable whether the answering instance has heard of it lately
 * @param inForce revision in force there, as last heard
 * @since 0.1
 */
public record InstanceView(
    InstanceId id, FailureDomainId domain, boolean voter, boolean reachable, Revision inForce) {}
