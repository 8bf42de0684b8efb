package org.primrosegauge.node.journal.impl;

import java.util.ArrayList;
import java.util.List;
import org.primrosegauge.core.log.HardState;
import org.primrosegauge.core.log.LogAction.Persist;
import org.primrosegauge.core.log.LogAction.PersistEntries;
import org.primrosegauge.core.log.LogAction.PersistHardState;
import org.primrosegauge.core.log.LogAction.PersistSnapshot;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogSnapshot;
import org.primrosegauge.core.log.RecoveredLog;
import org.primrosegauge.core.log.StorageId;

/**
 * What the journal holds, as a result of its records.
 *
 * <p>Single-threaded; lives as long as its journal.
 */
final class JournalContent {

  private final List<LogEntry> entries = new ArrayList<>();
  private HardState hardState = HardState.INITIAL;
  private LogSnapshot snapshot;

  HardState hardState() {
    return hardState;
  }

  LogSnapshot snapshot() {
    return snapshot;
  }

  List<LogEntry> entries() {
    return entries;
  }

  RecoveredLog recovered(StorageId storage) {
    return new RecoveredLog(storage, hardState, snapshot, entries);
  }

  void apply(Persist write) {
    if (write instanceof PersistHardState state) {
      apply(state.hardState());
    } else if (write instanceof PersistEntries added) {
      added.entries().forEach(this::apply);
    } else if (write instanceof PersistSnapshot taken) {
      compact(taken);
    }
  }

  void apply(HardState state) {
    hardState = state;
  }

  /** Appends an entry, which replaces those at its position and behind. */
  void apply(LogEntry entry) {
    long position = entry.index().number() - firstIndex();
    if (position < 0 || position > entries.size()) {
      throw new IllegalArgumentException("entry " + entry.index() + " leaves a gap");
    }
    entries.subList((int) position, entries.size()).clear();
    entries.add(entry);
  }

  /** Starts from a snapshot without entries. */
  void reset(LogSnapshot base) {
    entries.clear();
    snapshot = base;
  }

  private void compact(PersistSnapshot taken) {
    long last = taken.snapshot().index().number();
    boolean keeps = taken.keepLaterEntries();
    entries.removeIf(entry -> !keeps || entry.index().number() <= last);
    snapshot = taken.snapshot();
  }

  private long firstIndex() {
    return (snapshot == null ? 0 : snapshot.index().number()) + 1;
  }
}
