package org.primrosegauge.core.registry;

import java.util.Arrays;
import java.util.Objects;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;

/**
 * Recorded state of a job.
 *
 * @param domain home domain of the job
 * @param job job
 * @param version version of the state
 * @param isFinal whether the job is over
 * @param logMillis log time of this version
 * @param payload state, as the keeper serialised it
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
