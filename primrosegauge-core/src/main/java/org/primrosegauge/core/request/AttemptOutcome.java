package org.primrosegauge.core.request;

/**
 * How an attempt ended, as the adapter saw it. The adapter reports one for each dispatch and each
 * forward.
 *
 * @since 0.1
 */
public enum AttemptOutcome {
  /** The whole answer is here and carries the right request and attempt. */
  ANSWERED(true, false),
  /** The target answered with an error of its own; the work may have run in part. */
  ANSWERED_ERROR(true, false),
  /** The target states that it did not begin the work, such as one that is leaving. */
  DECLINED(false, false),
  /** No byte of the request was handed to a connection. */
  NOT_SENT(false, false),
  /** The connection broke after bytes were handed over. */
  CONNECTION_LOST(true, true),
  /** No whole answer came in time. */
  TIMED_OUT(true, true),
  /** The answer carries another request or attempt. */
  MISMATCHED(true, true),
  /** The answer is longer than the service allows or was cut. */
  UNUSABLE_ANSWER(true, true);

  private final boolean mayHaveBegun;
  private final boolean mayStillRun;

  AttemptOutcome(boolean mayHaveBegun, boolean mayStillRun) {
    this.mayHaveBegun = mayHaveBegun;
    this.mayStillRun = mayStillRun;
  }

  /**
   * Tells whether the target may have begun the work.
   *
   * @since 0.1
   */
  public boolean mayHaveBegun() {
    return mayHaveBegun;
  }

  /**
   * Tells whether the work may still occupy a slot of the target.
   *
   * @since 0.1
   */
  public boolean mayStillRun() {
    return mayStillRun;
  }

  /**
   * Tells whether the outcome speaks against the target.
   *
   * @since 0.1
   */
  public boolean isFailure() {
    return this != ANSWERED;
  }
}
