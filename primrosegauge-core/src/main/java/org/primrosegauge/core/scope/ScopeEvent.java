package org.primrosegauge.core.scope;

/**
 * Decision of the scope scheduler, or a state change that it observed, with its inputs.
 *
 * @param kind kind of event
 * @param run run concerned; null for events about a worker or a step only
 * @param step step concerned; null for events about a worker only
 * @param worker worker concerned; null for none
 * @param detail inputs in the form {@code name=value}, separated by spaces
 * @since 0.2
 */
public record ScopeEvent(Kind kind, RunId run, StepKey step, WorkerKey worker, String detail) {

  /** Kind of event. */
  public enum Kind {
    /** The tasks of a step were placed on workers. */
    PLACED,
    /** A step has waited for a while, or waits for another reason than before. */
    WAITING,
    /** Runs are being preempted to free capacity for a step. */
    PREEMPTING,
    /** A worker has started a run. */
    STARTED,
    /** A worker rejected a start request. */
    START_REJECTED,
    /** A start request got no response. */
    START_UNANSWERED,
    /** A run is being stopped. */
    STOPPING,
    /** A run has ended. */
    ENDED,
    /** A worker incarnation was registered. */
    WORKER_SEEN,
    /**
     * An announced incarnation that would replace another one did not respond as itself; it was not
     * registered.
     */
    WORKER_UNCONFIRMED,
    /** A worker incarnation has ended. */
    WORKER_GONE,
    /** A worker reported that it is draining. */
    WORKER_DRAINING,
    /** A worker was quarantined: no runs are placed on it for a while. */
    WORKER_ASIDE,
    /** A worker does not respond. */
    WORKER_SILENT,
    /** A worker responds again. */
    WORKER_BACK,
    /** A worker is probed because its response to a poll, or the end of a run, is overdue. */
    WORKER_OVERDUE,
    /** A worker reported a run that is not assigned to it. */
    UNKNOWN_RUN
  }

  /**
   * Creates an event about a run on a worker.
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
