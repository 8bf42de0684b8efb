package org.primrosegauge.wire.target;

/**
 * What a worker tells its keeper while nothing has changed since its last full announcement: it
 * renews the lease without repeating the tasks.
 *
 * @param version version of the last full announcement
 * @since 0.1
 */
public record WorkerRenewal(long version) {}
