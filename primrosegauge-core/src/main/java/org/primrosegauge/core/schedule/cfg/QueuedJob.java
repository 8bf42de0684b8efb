package org.primrosegauge.core.schedule.cfg;

/**
 * What a policy knows about a job.
 *
 * @param accelerators accelerators of the whole gang
 * @param tasks tasks of the gang
 * @param declaredMillis declared run time, in milliseconds; 0 when unknown
 * @param attainedService accelerators times run time so far, in accelerator-milliseconds
 * @param attainedMillis run time so far, in milliseconds
 * @param submittedMillis time of submission
 * @since 0.1
 */
public record QueuedJob(
    int accelerators,
    int tasks,
    long declaredMillis,
    long attainedService,
    long attainedMillis,
    long submittedMillis) {}
