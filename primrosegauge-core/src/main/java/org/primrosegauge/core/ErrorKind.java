package org.primrosegauge.core;

/**
 * Kinds of errors. Clients and metrics use the label, which never changes between releases.
 *
 * @since 0.1
 */
public enum ErrorKind {
  /** The input violates a documented rule. */
  INVALID_INPUT("invalid-input"),
  /** The named entity does not exist. */
  NOT_FOUND("not-found"),
  /** The request conflicts with state that was already accepted. */
  CONFLICT("conflict"),
  /** The caller presents no valid token or certificate. */
  UNAUTHENTICATED("unauthenticated"),
  /** The caller's token does not permit the operation. */
  FORBIDDEN("forbidden"),
  /** A size, rate or queue limit is exceeded. */
  OVER_LIMIT("over-limit"),
  /** The deadline cannot be met or has passed. */
  DEADLINE("deadline"),
  /** The site can never satisfy the resource requirements of the work. */
  INFEASIBLE("infeasible"),
  /** A required dependency is currently unreachable. */
  UNAVAILABLE("unavailable"),
  /** The connection to a target failed after the work was dispatched. */
  OUTCOME_UNKNOWN("outcome-unknown"),
  /** A target returned an error. */
  TARGET_FAILED("target-failed"),
  /** Stored state is corrupt or cannot be made durable. */
  STORAGE("storage"),
  /** An internal error, caused by a defect of the program. */
  INTERNAL("internal");

  private final String label;

  ErrorKind(String label) {
    this.label = label;
  }

  /**
   * Returns the stable label used in responses and metrics.
   *
   * @since 0.1
   */
  public String label() {
    return label;
  }
}
