package org.primrosegauge.core.scope;

/**
 * State of a job, as shown to its caller.
 *
 * @since 0.2
 */
public enum JobStatus {
  /** No task has started yet. */
  QUEUED,
  /** A task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task failed as often as its queue allows. */
  FAILED,
  /** The caller cancelled it. */
  CANCELLED;

  /**
   * Tells whether the job has ended.
   *
   * @since 0.2
   */
  public boolean isFinal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
