package org.primrosegauge.core;

/**
 * Signals that stored state is corrupt, belongs to another owner, or cannot be made durable.
 *
 * @since 0.1
 */
public class StorageException extends PrimrosegaugeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception without a cause.
   *
   * @param summary description of the failure
   * @param remedy action that resolves the failure
   * @param location location of the failure; empty if unknown
   * @since 0.1
   */
  public StorageException(String summary, String remedy, String location) {
    super(ErrorKind.STORAGE, summary, remedy, location);
  }

  /**
   * Creates an exception with a cause.
   *
   * @since 0.1
   */
  public StorageException(String summary, String remedy, String location, Throwable cause) {
    super(ErrorKind.STORAGE, summary, remedy, location, cause);
  }
}
