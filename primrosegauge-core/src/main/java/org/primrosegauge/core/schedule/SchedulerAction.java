package org.primrosegauge.core.schedule;

import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.site.BlockShape;

/**
 * What the scheduler wants done. The caller carries actions out in the order given.
 *
 * @since 0.1
 */
public sealed interface SchedulerAction {

  /**
   * Asks a worker to hold capacity for a task.
   *
   * @param leaseMillis time after which the worker frees the capacity unless the task was started
   */
  record Reserve(TargetId target, TaskId task, Resources resources, long leaseMillis, Term term)
      implements SchedulerAction {}

  /** Starts a task on reserved capacity. The worker gives the job record back with its reports. */
  record Start(TargetId target, TaskId task, JobSpec job, Term term) implements SchedulerAction {

    /**
     * Returns the text that the worker executes.
     *
     * @since 0.1
     */
    public String command() {
      return job.command();
    }
  }

  /** Frees a reservation whose task was not started. */
  record Release(TargetId target, TaskId task, Term term) implements SchedulerAction {}

  /** Takes capacity back from a task that was started, or holds it to its declared resources. */
  record Stop(TargetId target, TaskId task, StopMode mode, Term term) implements SchedulerAction {}

  /** Tells the owner of a job about a change. */
  record JobChanged(JobId job, int attempt, JobPhase phase, JobReason reason)
      implements SchedulerAction {}

  /**
   * Reports how much of a guarantee the workers present can carry.
   *
   * @param missingBlocks blocks that cannot be packed; 0 when the guarantee is whole again
   */
  record GuaranteeChanged(CustomerId customer, BlockShape shape, int missingBlocks)
      implements SchedulerAction {}
}
