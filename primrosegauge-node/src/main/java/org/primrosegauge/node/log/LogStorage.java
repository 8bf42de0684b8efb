package org.primrosegauge.node.log;

import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.RecoveredLog;

/**
 * Durable storage of a replica. All methods are called on the journal thread, except {@link
 * #recover}, which is called before that thread starts.
 *
 * @since 0.1
 */
public interface LogStorage extends AutoCloseable {

  /**
   * Returns the stored log.
   *
   * @throws StorageException if the data folder is corrupt, belongs to another instance or is in
   *     use
   * @since 0.1
   */
  RecoveredLog recover() throws StorageException;

  /**
   * Writes without making the write durable.
   *
   * @throws StorageException if the write fails; the storage is then unusable
   * @since 0.1
   */
  void write(LogAction.Persist write) throws StorageException;

  /**
   * Makes all writes so far durable.
   *
   * @throws StorageException if the writes are not known to be durable; the storage is then
   *     unusable
   * @since 0.1
   */
  void sync() throws StorageException;

  @Override
  void close();
}
