package org.primrosegauge.node.log;

import java.util.UUID;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.RecoveredLog;
import org.primrosegauge.core.log.StorageId;

/**
 * Storage that is lost when the process ends, for tests. After each restart, its replica has a new,
 * empty data folder.
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
    // The replica keeps the log in memory.
  }

  @Override
  public void sync() {
    // Nothing is stored beyond the process.
  }

  @Override
  public void close() {
    // No resources are open.
  }
}
