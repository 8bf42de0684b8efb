package org.primrosegauge.core.scope;

/**
 * How a run ended.
 *
 * @since 0.2
 */
public enum RunOutcome {
  /** The task did all its work. */
  DONE,
  /** The task failed, by its own fault or the worker's. */
  FAILED,
  /** An order stopped it. */
  STOPPED,
  /** The lease on its worker ran out. */
  LAPSED,
  /** Another member of its gang ended. */
  BROKEN,
  /** The other members of its gang did not arrive in time. */
  ALONE,
  /** Its worker's lifetime ended. */
  WORKER_LOST,
  /** It never began and never will. */
  NEVER_STARTED
}
