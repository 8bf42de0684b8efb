package org.primrosegauge.core;

/**
 * States whether the work of a request was executed.
 *
 * @since 0.1
 */
public enum ExecutionStatus {
  /** No target can have started the work; the request is safe to retry. */
  NOT_RUN("not-run"),
  /** A target may have started the work; it is not known whether the work completed. */
  UNKNOWN("unknown"),
  /** The work completed. */
  RAN("ran");

  private final String label;

  ExecutionStatus(String label) {
    this.label = label;
  }

  /**
   * Returns the label used in responses to callers.
   *
   * @since 0.1
   */
  public String label() {
    return label;
  }
}
