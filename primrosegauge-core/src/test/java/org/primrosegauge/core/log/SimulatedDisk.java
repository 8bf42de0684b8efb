package org.primrosegauge.core.log;

import java.util.ArrayList;
import java.util.List;
import org.primrosegauge.core.log.LogAction.Persist;
import org.primrosegauge.core.log.LogAction.PersistEntries;
import org.primrosegauge.core.log.LogAction.PersistHardState;
import org.primrosegauge.core.log.LogAction.PersistSnapshot;

/** Durable content of a data folder, and the writes that are not durable yet. */
final class SimulatedDisk {

  private final StorageId storage;
  private final List<Persist> unsynced = new ArrayList<>();
  private final List<LogEntry> entries = new ArrayList<>();
  private HardState hardState = HardState.INITIAL;
  private LogSnapshot snapshot;

  SimulatedDisk(StorageId storage) {
    this.storage = storage;
  }

  StorageId storage() {
    return storage;
  }

  LogSnapshot snapshot() {
    return snapshot;
  }

  RecoveredLog content() {
    return new RecoveredLog(storage, hardState, snapshot, entries);
  }

  void write(Persist write) {
    unsynced.add(write);
  }

  /** Makes the writes up to a number durable. */
  void sync(long lastWriteNumber) {
    while (!unsynced.isEmpty() && unsynced.get(0).writeNumber() <= lastWriteNumber) {
      store(unsynced.remove(0));
    }
  }

  /** Makes the first writes that are not durable yet durable and discards the others. */
  void crash(int kept) {
    for (int i = 0; i < kept && !unsynced.isEmpty(); i++) {
      store(unsynced.remove(0));
    }
    unsynced.clear();
  }

  int unsyncedCount() {
    return unsynced.size();
  }

  private void store(Persist write) {
    if (write instanceof PersistHardState state) {
      hardState = state.hardState();
    } else if (write instanceof PersistEntries added) {
      long first = added.entries().get(0).index().number();
      entries.removeIf(entry -> entry.index().number() >= first);
      entries.addAll(added.entries());
    } else if (write instanceof PersistSnapshot taken) {
      snapshot = taken.snapshot();
      long last = snapshot.index().number();
      boolean keepLaterEntries = taken.keepLaterEntries();
      entries.removeIf(entry -> !keepLaterEntries || entry.index().number() <= last);
    }
  }
}
