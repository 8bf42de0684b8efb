package org.primrosegauge.core.scope;

import org.primrosegauge.core.JobId;

/**
 * Identifies a step of an occurrence of a job.
 *
 * @param job job
 * @param occurrence number of the occurrence of the job, from 0
 * @param step number of the step within the job, from 0
 * @since 0.2
 */
public record StepKey(JobId job, int occurrence, int step) {

  /**
   * Returns the key of the task with an index within this step.
   *
   * @since 0.2
   */
  public TaskKey task(int index) {
    return new TaskKey(job, occurrence, step, index);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof StepKey that
        && occurrence == that.occurrence
        && step == that.step
        && job.equals(that.job);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * job.hashCode() + occurrence) + step;
  }

  @Override
  public String toString() {
    return job + "." + occurrence + "." + step;
  }
}
