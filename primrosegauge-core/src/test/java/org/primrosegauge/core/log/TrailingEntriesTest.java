package org.primrosegauge.core.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.impl.MemoryLog;

/** The entries that stay in memory behind a snapshot are bounded in number and in bytes. */
class TrailingEntriesTest {

  private static final int ENTRIES = 100;
  private static final Term TERM = new Term(1);

  @ParameterizedTest
  @CsvSource({
    "100, 10, 1000000, 10",
    "100, 99, 1000000, 99",
    "1000000, 1000, 4194304, 4",
    "5000000, 1000, 4194304, 0",
    "100, 0, 4194304, 0"
  })
  void trailingEntriesAreBounded(int entryBytes, int maxEntries, int maxBytes, int expected) {
    MemoryLog log =
        new MemoryLog(new RecoveredLog(new StorageId("s"), HardState.INITIAL, null, List.of()));
    byte[] command = new byte[entryBytes];
    for (int index = 1; index <= ENTRIES; index++) {
      log.append(new LogEntry(new LogIndex(index), TERM, 0, null, command));
    }
    LogSnapshot snapshot =
        new LogSnapshot(new LogIndex(ENTRIES), TERM, 0, Membership.NONE, new byte[0]);
    log.compact(snapshot, maxEntries, maxBytes);
    assertThat(log.lastIndex() - log.baseIndex()).isEqualTo(expected);
    assertThat(log.termAt(log.baseIndex())).isEqualTo(TERM);
    assertThat(log.lastIndex()).isEqualTo(ENTRIES);
  }
}
