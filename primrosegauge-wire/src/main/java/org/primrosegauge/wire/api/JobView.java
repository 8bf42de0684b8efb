package org.primrosegauge.wire.api;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.job.JobPhase;

/**
 * What a caller is told about a job.
 *
 * @param id id of the job
 * @param customer customer that it belongs to
 * @param domain home failure domain
 * @param tasks size of the gang
 * @param attempt number of the current attempt; 0 before the first
 * @param phase phase of the job
 * @param reason why it is in that phase, or what it waits for
 * @param held how the record of the job is held, such as {@code synced} or {@code peers 2}
 * @param isFinal whether the phase is the final answer
 * @since 0.1
 */
public record JobView(
    String id,
    String customer,
    FailureDomainId domain,
    int tasks,
    int attempt,
    JobPhase phase,
    String reason,
    String held,
    boolean isFinal) {}
