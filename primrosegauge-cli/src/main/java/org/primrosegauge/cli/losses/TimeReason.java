package org.primrosegauge.cli.losses;

/**
 * What a job spent time on between its first call and its completion.
 *
 * @since 0.4
 */
public enum TimeReason {
  /** No instance was leading. */
  NO_LEADER("no leader"),
  /** The job was refused, or its call was waiting at an instance. */
  NOT_ACCEPTED("not yet accepted"),
  /** No worker had enough free capacity. */
  NO_CAPACITY("waiting: no free capacity"),
  /** Free capacity was withheld as headroom for urgent jobs and gangs. */
  HEADROOM("waiting: capacity withheld as headroom"),
  /** Free capacity was reserved for a gang that waits longer. */
  RESERVED("waiting: capacity reserved for another gang"),
  /** Only workers far from the data or on several racks were free. */
  LOCALITY("waiting: no local worker free"),
  /** The capacity was being freed by preemption. */
  PREEMPTING("waiting: preempted runs stop"),
  /** The workers chosen had not yet confirmed that they respond. */
  CONFIRMING("waiting: workers confirm that they respond"),
  /** Waiting for another reason, or for one that the log does not name. */
  WAITING("waiting: no reason logged"),
  /** Placed, and the start not yet answered. */
  STARTING("starting"),
  /** A worker rejected the start, and the step was placed again. */
  START_REJECTED("start rejected"),
  /** Starts got no answer, and the run or its gang was given up. */
  START_IN_DOUBT("start unanswered"),
  /** The run that completed. */
  RUNNING("running"),
  /** The run that completed was on a worker that did not respond. */
  WORKER_SILENT("running on a silent worker"),
  /** A run that was preempted. */
  PREEMPTED("run again: preempted"),
  /** A run whose worker or lease was lost. */
  WORKER_LOST("run again: worker lost"),
  /** A run that ended because another member of its gang did. */
  GANG_BROKEN("run again: gang member ended"),
  /** A run that was moved because its worker was draining. */
  DRAINED("run again: worker drained"),
  /** A run that made no progress. */
  STALLED("run again: no progress"),
  /** A run that failed. */
  FAILED("run again: failed"),
  /** A run that was stopped for a reason not listed here. */
  STOPPED("run again: stopped");

  private final String label;

  TimeReason(String label) {
    this.label = label;
  }

  /**
   * Returns the text for reports.
   *
   * @since 0.4
   */
  public String label() {
    return label;
  }

  /** Returns whether the time would also have passed if nothing had gone wrong. */
  boolean isUseful() {
    return this == RUNNING;
  }
}
