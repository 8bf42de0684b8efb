package org.primrosegauge.core.scope;

import org.primrosegauge.core.JobId;

/**
 * Identifies a task, independently of its attempts.
 *
 * @param job job
 * @param occurrence number of the occurrence of the job, from 0
 * @param step number of the step within the job, from 0
 * @param index index of the task within the step, from 0
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
