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

  private final LogStorage delegate;
  private final LongConsumer onSyncMillis;

  /**
   * Wraps a storage.
   *
   * @param syncMillis told after each sync how long it took, in milliseconds
   * @since 0.3
   */
  public TimedStorage(LogStorage storage, LongConsumer syncMillis) {
    this.delegate = storage;
    this.onSyncMillis = syncMillis;
  }

  @Override
  public RecoveredLog recover() throws StorageException {
    return delegate.recover();
  }

  @Override
  public void write(LogAction.Persist write) throws StorageException {
    delegate.write(write);
  }

  @Override
  public void sync() throws StorageException {
    long begin = System.nanoTime();
    delegate.sync();
    onSyncMillis.accept(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin));
  }

  @Override
  public void close() {
    delegate.close();
  }
}
