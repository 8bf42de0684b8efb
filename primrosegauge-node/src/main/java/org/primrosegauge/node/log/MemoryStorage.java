package org.primrosegauge.node.log;

import java.util.UUID;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.RecoveredLog;
import org.primrosegauge.core.log.StorageId;

/**
 * Storage that keeps nothing beyond the process, for tests of the duty. A replica on it comes back
 * after each restart as one with a new, empty disk.
 *
 * @since 0.1
 */
public final class MemoryStorage implements LogStorage {

  private final StorageId id = new StorageId(UUID.randomUUID().toString());

  @Override
  public RecoveredLog recover() {
    return RecoveredLog.empty(id);
  }

  @Override
  public void write(LogAction.Persist write) {
    // The replica itself keeps what it needs in memory.
  }

  @Override
  public void sync() {
    // Nothing outlives the process.
  }

  @Override
  public void close() {
    // Nothing is open.
  }
}
