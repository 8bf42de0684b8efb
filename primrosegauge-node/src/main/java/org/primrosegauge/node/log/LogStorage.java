package org.primrosegauge.node.log;

import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.RecoveredLog;

/**
 * Port to the durable storage of a replica. All methods are called by the journal duty, except
 * {@link #recover}, which is called before it starts.
 *
 * @since 0.1
 */
public interface LogStorage extends AutoCloseable {

  /**
   * Returns what is stored.
   *
   * @throws StorageException when the folder is damaged, foreign or in use
   * @since 0.1
   */
  RecoveredLog recover() throws StorageException;

  /**
   * Writes without syncing.
   *
   * @throws StorageException when it cannot be written; the storage is then unusable
   * @since 0.1
   */
  void write(LogAction.Persist write) throws StorageException;

  /**
   * Makes all writes so far durable.
   *
   * @throws StorageException when that cannot be known; the storage is then unusable
   * @since 0.1
   */
  void sync() throws StorageException;

  @Override
  void close();
}
