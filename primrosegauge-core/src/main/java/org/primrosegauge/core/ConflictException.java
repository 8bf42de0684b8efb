package org.primrosegauge.core;

/**
 * Signals that a change conflicts with state that was already accepted.
 *
 * @since 0.1
 */
public class ConflictException extends PrimrosegaugeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception without a cause.
   *
   * @param summary description of the failure
   * @param remedy action that resolves the failure
   * @param location location of the failure; empty if unknown
   * @since 0.1
   */
  public ConflictException(String summary, String remedy, String location) {
    super(ErrorKind.CONFLICT, summary, remedy, location);
  }

  /**
   * Creates an exception with a cause.
   *
   * @since 0.1
   */
  public ConflictException(String summary, String remedy, String location, Throwable cause) {
    super(ErrorKind.CONFLICT, summary, remedy, location, cause);
  }
}
