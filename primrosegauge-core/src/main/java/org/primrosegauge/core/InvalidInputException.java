package org.primrosegauge.core;

/**
 * Signals that external input violates a documented rule.
 *
 * @since 0.1
 */
public class InvalidInputException extends PrimrosegaugeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception without a cause.
   *
   * @param summary description of the failure
   * @param remedy action that resolves the failure
   * @param location location of the failure; empty if unknown
   * @since 0.1
   */
  public InvalidInputException(String summary, String remedy, String location) {
    super(ErrorKind.INVALID_INPUT, summary, remedy, location);
  }

  /**
   * Creates an exception with a cause.
   *
   * @since 0.1
   */
  public InvalidInputException(String summary, String remedy, String location, Throwable cause) {
    super(ErrorKind.INVALID_INPUT, summary, remedy, location, cause);
  }
}
