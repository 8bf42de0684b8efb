package org.primrosegauge.core;

/**
 * Signals that a storage operation failed, for example because the disk is full. Data that is known
 * to be durable is intact, so the storage may be reopened once it accepts writes.
 *
 * @since 0.3
 */
public class StorageUnavailableException extends StorageException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception without a cause.
   *
   * @param summary description of the failure
   * @param remedy action that resolves the failure
   * @param location location of the failure; empty if unknown
   * @since 0.3
   */
  public StorageUnavailableException(String summary, String remedy, String location) {
    super(summary, remedy, location);
  }

  /**
   * Creates an exception with a cause.
   *
   * @since 0.3
   */
  public StorageUnavailableException(
      String summary, String remedy, String location, Throwable cause) {
    super(summary, remedy, location, cause);
  }
}
