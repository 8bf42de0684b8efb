package org.primrosegauge.node.log;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.RecoveredLog;

/**
 * A storage that tells how long each sync takes.
 *
 * @since 0.3
 */
public final class TimedStorage implements LogStorage {

  private final LogStorage storage;
  private final LongConsumer syncMillis;

  /**
   * Wraps a storage.
   *
   * @param syncMillis told after each sync how long it took, in milliseconds
   * @since 0.3
   */
  public TimedStorage(LogStorage storage, LongConsumer syncMillis) {
    this.storage = storage;
    this.syncMillis = syncMillis;
  }

  @Override
  public RecoveredLog recover() throws StorageException {
    return storage.recover();
  }

  @Override
  public void write(LogAction.Persist write) throws StorageException {
    storage.write(write);
  }

  @Override
  public void sync() throws StorageException {
    long begin = System.nanoTime();
    storage.sync();
    syncMillis.accept(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin));
  }

  @Override
  public void close() {
    storage.close();
  }
}
