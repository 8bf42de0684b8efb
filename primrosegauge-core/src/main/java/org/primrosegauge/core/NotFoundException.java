package org.primrosegauge.core;

/**
 * Signals that the named entity does not exist.
 *
 * @since 0.1
 */
public class NotFoundException extends PrimrosegaugeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception without a cause.
   *
   * @param summary description of the failure
   * @param remedy action that resolves the failure
   * @param location location of the failure; empty if unknown
   * @since 0.1
   */
  public NotFoundException(String summary, String remedy, String location) {
    super(ErrorKind.NOT_FOUND, summary, remedy, location);
  }

  /**
   * Creates an exception with a cause.
   *
   * @since 0.1
   */
  public NotFoundException(String summary, String remedy, String location, Throwable cause) {
    super(ErrorKind.NOT_FOUND, summary, remedy, location, cause);
  }
}
