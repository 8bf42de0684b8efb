package org.primrosegauge.wire.api;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.Term;

/**
 * Summary of an instance.
 *
 * @param instance id of the instance that answers
 * @param domain its failure domain
 * @param ready whether it takes new work
 * @param leader leader of the replicated log, as known; null when none is known
 * @param keeper keeper of the failure domain, as known; null when none is known
 * @param keeperTerm term of the keeper
 * @param inForce revision in force here
 * @param workers workers that announce themselves to this instance
 * @param executors executors attached to this instance
 * @param queuedJobs jobs that wait in the domain, when this instance is the keeper
 * @param runningJobs jobs that run in the domain, when this instance is the keeper
 * @since 0.1
 */
public record StatusView(
    InstanceId instance,
    FailureDomainId domain,
    boolean ready,
    InstanceId leader,
    InstanceId keeper,
    Term keeperTerm,
    Revision inForce,
    int workers,
    int executors,
    int queuedJobs,
    int runningJobs) {}
