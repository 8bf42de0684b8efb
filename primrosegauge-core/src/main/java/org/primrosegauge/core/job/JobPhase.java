package org.primrosegauge.core.job;

/**
 * Phase of a job. Within one attempt it only moves forward; a gang that is queued again starts a
 * new attempt.
 *
 * @since 0.1
 */
public enum JobPhase {
  /** Accepted and waiting for capacity. */
  QUEUED,
  /** Capacity is being reserved on every worker of the gang. */
  RESERVING,
  /** Every worker has reserved; starts are being sent. */
  STARTING,
  /** Every task runs. */
  RUNNING,
  /** Tasks are being checkpointed or stopped. */
  STOPPING,
  /** Ended well. Final. */
  SUCCEEDED,
  /** Given up after failures. Final. */
  FAILED,
  /** Cancelled by the caller. Final. */
  CANCELLED,
  /** A job that may not be repeated was lost after its start. Final. */
  OUTCOME_UNKNOWN;

  /**
   * Tells whether the phase is the last one.
   *
   * @since 0.1
   */
  public boolean isFinal() {
    return ordinal() >= SUCCEEDED.ordinal();
  }
}
