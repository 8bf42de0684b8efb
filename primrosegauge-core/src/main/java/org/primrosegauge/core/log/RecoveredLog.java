package org.primrosegauge.core.log;

import java.util.List;
import java.util.Objects;

/**
 * What a data folder holds when a replica starts.
 *
 * @param storage id of the data folder
 * @param hardState last durable term and vote
 * @param snapshot last durable snapshot; null when none
 * @param entries entries behind the snapshot, without gaps
 * @since 0.1
 */
public record RecoveredLog(
    StorageId storage, HardState hardState, LogSnapshot snapshot, List<LogEntry> entries) {

  /** Copies the list. */
  public RecoveredLog {
    Objects.requireNonNull(storage);
    Objects.requireNonNull(hardState);
    entries = List.copyOf(entries);
  }

  /**
   * Returns what a new data folder holds.
   *
   * @since 0.1
   */
  public static RecoveredLog empty(StorageId storage) {
    return new RecoveredLog(storage, HardState.INITIAL, null, List.of());
  }
}
