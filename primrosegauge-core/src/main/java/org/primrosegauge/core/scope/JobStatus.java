package org.primrosegauge.core.scope;

/**
 * Status of a job, as shown to its caller.
 *
 * @since 0.2
 */
public enum JobStatus {
  /** No task has started yet. */
  QUEUED,
  /** At least one task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task or a gang used up the attempts that its queue allows. */
  FAILED,
  /** The job was cancelled by its caller. */
  CANCELLED;

  /**
   * Returns whether the job has ended.
   *
   * @since 0.2
   */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
