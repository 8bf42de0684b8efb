package org.primrosegauge.core;

/**
 * Stable kinds of errors. Callers and counters use the label; it never changes between releases.
 *
 * @since 0.1
 */
public enum ErrorKind {
  /** The input breaks a documented rule. */
  INVALID_INPUT("invalid-input"),
  /** The thing named does not exist. */
  NOT_FOUND("not-found"),
  /** The request contradicts something already accepted. */
  CONFLICT("conflict"),
  /** The caller shows no valid token or certificate. */
  UNAUTHENTICATED("unauthenticated"),
  /** The caller's token does not allow this. */
  FORBIDDEN("forbidden"),
  /** A size, rate or queue limit is reached. */
  OVER_LIMIT("over-limit"),
  /** The deadline cannot be met or has passed. */
  DEADLINE("deadline"),
  /** The work can never run on this site. */
  INFEASIBLE("infeasible"),
  /** Something needed cannot be reached now. */
  UNAVAILABLE("unavailable"),
  /** The connection to a target broke after the work was handed over. */
  OUTCOME_UNKNOWN("outcome-unknown"),
  /** A target answered with an error of its own. */
  TARGET_FAILED("target-failed"),
  /** Stored state is damaged or cannot be made durable. */
  STORAGE("storage"),
  /** A fault of the program itself. */
  INTERNAL("internal");

  private final String label;

  ErrorKind(String label) {
    this.label = label;
  }

  /**
   * Returns the stable text of this kind.
   *
   * @since 0.1
   */
  public String label() {
    return label;
  }
}
