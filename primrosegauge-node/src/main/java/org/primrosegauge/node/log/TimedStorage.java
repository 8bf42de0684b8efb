package org.primrosegauge.node.log;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.RecoveredLog;

/**
 * Storage that measures the duration of each sync.
 *
 * @since 0.3
 */
public final class TimedStorage implements LogStorage {

  private final LogStorage delegate;
  private final LongConsumer onSyncMillis;

  /**
   * Wraps a storage.
   *
   * @param onSyncMillis receives the duration of each sync, in milliseconds
   * @since 0.3
   */
  public TimedStorage(LogStorage delegate, LongConsumer onSyncMillis) {
    this.delegate = delegate;
    this.onSyncMillis = onSyncMillis;
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
    long startNanos = System.nanoTime();
    delegate.sync();
    onSyncMillis.accept(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
  }

  @Override
  public void close() {
    delegate.close();
  }
}
