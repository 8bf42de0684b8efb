package org.primrosegauge.core.job;

/**
 * Phase of a job. Within an attempt the phase only advances; a gang that is queued again starts a
 * new attempt.
 *
 * @since 0.1
 */
public enum JobPhase {
  /** Accepted and waiting for capacity. */
  QUEUED,
  /** Capacity is being reserved on every worker of the gang. */
  RESERVING,
  /** Every worker has reserved its capacity; start requests are being sent. */
  STARTING,
  /** Every task is running. */
  RUNNING,
  /** Tasks are being checkpointed or stopped. */
  STOPPING,
  /** Completed successfully. Final. */
  SUCCEEDED,
  /** Abandoned after failures. Final. */
  FAILED,
  /** Cancelled by the caller. Final. */
  CANCELLED,
  /** A job that is not repeatable was lost after its start. Final. */
  OUTCOME_UNKNOWN;

  /**
   * Tells whether a job in this phase has finished.
   *
   * @since 0.1
   */
  public boolean isFinal() {
    return ordinal() >= SUCCEEDED.ordinal();
  }
}
