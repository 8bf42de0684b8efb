package org.primrosegauge.core.scope;

import org.primrosegauge.core.ServiceId;

/**
 * A queue that callers hand jobs in to.
 *
 * @param name name
 * @param host host under which callers reach it
 * @param pathPrefix beginning of the paths that belong to it
 * @param pool service whose workers run its jobs
 * @param priority 0 comes first and may preempt others
 * @param maxAttempts failed runs of a task after which its job has failed
 * @param slackFactor objective for completion, as a multiple of the longest chain of work
 * @param latencyMillis what the objective adds to that, in milliseconds
 * @param isPublic whether callers need no key
 * @since 0.2
 */
public record QueueSpec(
    QueueName name,
    String host,
    String pathPrefix,
    ServiceId pool,
    int priority,
    int maxAttempts,
    double slackFactor,
    int latencyMillis,
    boolean isPublic) {}
