package org.primrosegauge.core;

/**
 * Input from outside breaks a documented rule.
 *
 * @since 0.1
 */
public class InvalidInputException extends PrimrosegaugeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an error.
   *
   * @param summary what went wrong
   * @param remedy what the reader can do about it
   * @param location where it went wrong; empty when there is no place to name
   * @since 0.1
   */
  public InvalidInputException(String summary, String remedy, String location) {
    super(ErrorKind.INVALID_INPUT, summary, remedy, location);
  }

  /**
   * Creates an error with a lower-level cause.
   *
   * @since 0.1
   */
  public InvalidInputException(String summary, String remedy, String location, Throwable cause) {
    super(ErrorKind.INVALID_INPUT, summary, remedy, location, cause);
  }
}
