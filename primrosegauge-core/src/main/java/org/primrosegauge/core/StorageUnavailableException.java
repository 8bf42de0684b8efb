package org.primrosegauge.core;

/**
 * An operation on a storage failed, for example because a disk is full. What is stored is sound as
 * far as it is known to be durable, so the storage may be opened again once it takes writes.
 *
 * @since 0.3
 */
public class StorageUnavailableException extends StorageException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an error.
   *
   * @param summary what went wrong
   * @param remedy what the reader can do about it
   * @param location where it went wrong; empty when there is no place to name
   * @since 0.3
   */
  public StorageUnavailableException(String summary, String remedy, String location) {
    super(summary, remedy, location);
  }

  /**
   * Creates an error with a lower-level cause.
   *
   * @since 0.3
   */
  public StorageUnavailableException(
      String summary, String remedy, String location, Throwable cause) {
    super(summary, remedy, location, cause);
  }
}
