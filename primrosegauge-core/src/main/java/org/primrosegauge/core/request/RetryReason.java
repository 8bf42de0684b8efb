package org.primrosegauge.core.request;

/**
 * Why a request is tried again on another target.
 *
 * @since 0.1
 */
public enum RetryReason implements CountedReason {
  /** The target answered with an error. */
  TARGET_ERROR("target-error"),
  /** The target states that it did not begin the work. */
  DECLINED("declined"),
  /** Nothing was sent, such as after a refused connection. */
  NOT_SENT("not-sent"),
  /** The connection broke after the request was sent; the request may be repeated. */
  CONNECTION_LOST("connection-lost"),
  /** No whole answer came in time; the request may be repeated. */
  TIMED_OUT("timed-out"),
  /** The answer belonged to something else or was unusable; the request may be repeated. */
  BAD_ANSWER("bad-answer");

  private final String label;

  RetryReason(String label) {
    this.label = label;
  }

  @Override
  public String label() {
    return label;
  }

  /**
   * Returns the reason for a retry after an outcome.
   *
   * @param outcome how the attempt ended
   * @throws IllegalArgumentException when the outcome is a good answer
   * @since 0.1
   */
  public static RetryReason of(AttemptOutcome outcome) {
    return switch (outcome) {
      case ANSWERED_ERROR -> TARGET_ERROR;
      case DECLINED -> DECLINED;
      case NOT_SENT -> NOT_SENT;
      case CONNECTION_LOST -> CONNECTION_LOST;
      case TIMED_OUT -> TIMED_OUT;
      case MISMATCHED, UNUSABLE_ANSWER -> BAD_ANSWER;
      case ANSWERED -> throw new IllegalArgumentException("no retry after a good answer");
    };
  }
}
