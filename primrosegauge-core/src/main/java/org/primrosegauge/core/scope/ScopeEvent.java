package org.primrosegauge.core.scope;

/**
 * A decision of the scope scheduler or a change of what it believes, with its inputs.
 *
 * @param kind what happened
 * @param run run that it is about; null when it is about a worker or a step alone
 * @param step step that it is about; null when it is about a worker alone
 * @param worker worker that it is about; null when none
 * @param detail inputs in the form {@code name=value}, separated by blanks
 * @since 0.2
 */
public record ScopeEvent(Kind kind, RunId run, StepKey step, WorkerKey worker, String detail) {

  /** What happened. */
  public enum Kind {
    /** A step got its workers. */
    PLACED,
    /** Runs are stopped to make room. */
    PREEMPTING,
    /** A start was carried out. */
    STARTED,
    /** A worker rejected a start. */
    START_REJECTED,
    /** A start got no answer. */
    START_UNANSWERED,
    /** A run is to stop. */
    STOPPING,
    /** A run ended. */
    ENDED,
    /** A worker is known from now on. */
    WORKER_SEEN,
    /** A worker's lifetime is over. */
    WORKER_GONE,
    /** A worker says that it leaves. */
    WORKER_DRAINING,
    /** A worker gets nothing new for a while. */
    WORKER_ASIDE,
    /** A worker does not answer. */
    WORKER_SILENT,
    /** A worker answers again. */
    WORKER_BACK,
    /** A worker runs what nobody asked it to. */
    UNKNOWN_RUN
  }

  /**
   * Creates an event about a run.
   *
   * @since 0.2
   */
  public static ScopeEvent of(Kind kind, RunId run, WorkerKey worker, String detail) {
    return new ScopeEvent(kind, run, run.task().stepKey(), worker, detail);
  }

  /**
   * Creates an event about a step.
   *
   * @since 0.2
   */
  public static ScopeEvent of(Kind kind, StepKey step, String detail) {
    return new ScopeEvent(kind, null, step, null, detail);
  }

  /**
   * Creates an event about a worker.
   *
   * @since 0.2
   */
  public static ScopeEvent of(Kind kind, WorkerKey worker, String detail) {
    return new ScopeEvent(kind, null, null, worker, detail);
  }
}
