package org.primrosegauge.core;

/**
 * What an answer says about whether the work of a request was executed.
 *
 * @since 0.1
 */
public enum ExecutionStatus {
  /** No target can have begun the work. Safe to send again. */
  NOT_RUN("not-run"),
  /** A target may have begun the work; whether it ended is not known. */
  UNKNOWN("unknown"),
  /** The work ran to its end. */
  RAN("ran");

  private final String label;

  ExecutionStatus(String label) {
    this.label = label;
  }

  /**
   * Returns the text used towards callers.
   *
   * @since 0.1
   */
  public String label() {
    return label;
  }
}
