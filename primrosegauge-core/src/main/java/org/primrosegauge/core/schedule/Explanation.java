package org.primrosegauge.core.schedule;

import java.util.Optional;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.Resources;

/**
 * Where a job stands and what it waits for.
 *
 * @param job id of the job
 * @param attempt attempt of the gang, from 1
 * @param phase phase of the job
 * @param reason why it is in this phase
 * @param needed resources of the whole gang
 * @param behind job that comes first, when the job waits for its turn
 * @param sinceMillis time since when it is so, on the caller's monotonic clock
 * @since 0.1
 */
public record Explanation(
    JobId job,
    int attempt,
    JobPhase phase,
    JobReason reason,
    Resources needed,
    Optional<JobId> behind,
    long sinceMillis) {}
