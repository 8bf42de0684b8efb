package org.primrosegauge.core;

/**
 * Stored state is damaged, foreign, or cannot be made durable.
 *
 * @since 0.1
 */
public class StorageException extends PrimrosegaugeException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an error.
   *
   * @param summary what went wrong
   * @param remedy what the reader can do about it
   * @param location where it went wrong; empty when there is no place to name
   * @since 0.1
   */
  public StorageException(String summary, String remedy, String location) {
    super(ErrorKind.STORAGE, summary, remedy, location);
  }

  /**
   * Creates an error with a lower-level cause.
   *
   * @since 0.1
   */
  public StorageException(String summary, String remedy, String location, Throwable cause) {
    super(ErrorKind.STORAGE, summary, remedy, location, cause);
  }
}
