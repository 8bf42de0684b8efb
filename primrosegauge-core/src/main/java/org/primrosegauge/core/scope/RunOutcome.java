package org.primrosegauge.core.scope;

/**
 * How a run ended.
 *
 * @since 0.2
 */
public enum RunOutcome {
  /** The task completed. */
  DONE,
  /** The task failed, because of an error of its own or of the worker. */
  FAILED,
  /** The run was stopped on request. */
  STOPPED,
  /** The lease of its worker expired. */
  LAPSED,
  /** The run was ended because another member of its gang had ended. */
  BROKEN,
  /** The other members of its gang did not start in time. */
  ALONE,
  /** The incarnation of its worker ended. */
  WORKER_LOST,
  /** The run was never started and never will be. */
  NEVER_STARTED
}
