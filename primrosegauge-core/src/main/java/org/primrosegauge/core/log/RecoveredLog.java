package org.primrosegauge.core.log;

import java.util.List;
import java.util.Objects;

/**
 * Content of a data folder when a replica starts.
 *
 * @param storage id of the data folder
 * @param hardState last durable term and vote
 * @param snapshot last durable snapshot; null if there is none
 * @param entries entries after the snapshot, with consecutive indices
 * @since 0.1
 */
public record RecoveredLog(
    StorageId storage, HardState hardState, LogSnapshot snapshot, List<LogEntry> entries) {

  /** Copies the list of entries and rejects missing components. */
  public RecoveredLog {
    Objects.requireNonNull(storage);
    Objects.requireNonNull(hardState);
    entries = List.copyOf(entries);
  }

  /**
   * Returns the content of an empty data folder.
   *
   * @since 0.1
   */
  public static RecoveredLog empty(StorageId storage) {
    return new RecoveredLog(storage, HardState.INITIAL, null, List.of());
  }
}
