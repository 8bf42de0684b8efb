package org.primrosegauge.core;

/**
 * A change contradicts something already accepted.
 *
 * @since 0.1
 */
public class ConflictException extends PrimrosegaugeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an error.
   *
   * @param summary what went wrong
   * @param remedy what the reader can do about it
   * @param location where it went wrong; empty when there is no place to name
   * @since 0.1
   */
  public ConflictException(String summary, String remedy, String location) {
    super(ErrorKind.CONFLICT, summary, remedy, location);
  }

  /**
   * Creates an error with a lower-level cause.
   *
   * @since 0.1
   */
  public ConflictException(String summary, String remedy, String location, Throwable cause) {
    super(ErrorKind.CONFLICT, summary, remedy, location, cause);
  }
}
