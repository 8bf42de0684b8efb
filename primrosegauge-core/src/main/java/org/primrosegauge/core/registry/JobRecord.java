package org.primrosegauge.core.registry;

import java.util.Arrays;
import java.util.Objects;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;

/**
 * State of a job as recorded in the replicated log.
 *
 * @param domain home domain of the job
 * @param job id of the job
 * @param version version of the state
 * @param isFinal whether the job has finished
 * @param logMillis log time when this version was recorded, in milliseconds
 * @param payload state, as serialised by the keeper of the home domain
 * @since 0.1
 */
public record JobRecord(
    FailureDomainId domain,
    JobId job,
    long version,
    boolean isFinal,
    long logMillis,
    byte[] payload) {

  @Override
  public boolean equals(Object other) {
    return other instanceof JobRecord that
        && domain.equals(that.domain)
        && job.equals(that.job)
        && version == that.version
        && isFinal == that.isFinal
        && logMillis == that.logMillis
        && Arrays.equals(payload, that.payload);
  }

  @Override
  public int hashCode() {
    return Objects.hash(job, version);
  }
}
