package org.primrosegauge.core.scope;

import org.primrosegauge.core.JobId;

/**
 * Identifies a task over all its attempts.
 *
 * @param job job
 * @param occurrence repetition of the job, from 0
 * @param step step of the job, from 0
 * @param index position within the step, from 0
 * @since 0.2
 */
public record TaskKey(JobId job, int occurrence, int step, int index) {

  /**
   * Returns the key of the step that the task belongs to.
   *
   * @since 0.2
   */
  public StepKey stepKey() {
    return new StepKey(job, occurrence, step);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TaskKey that
        && occurrence == that.occurrence
        && step == that.step
        && index == that.index
        && job.equals(that.job);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * (31 * job.hashCode() + occurrence) + step) + index;
  }

  @Override
  public String toString() {
    return job + "." + occurrence + "." + step + "." + index;
  }
}
