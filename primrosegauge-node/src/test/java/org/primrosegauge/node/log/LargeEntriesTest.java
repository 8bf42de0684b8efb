package org.primrosegauge.node.log;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.RecoveredLog;

/**
 * Guards against LOST of review/2: a hundred changes of a long configuration filled the memory of
 * each replica, and again after each restart, since entries were counted but not their bytes.
 */
class LargeEntriesTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int ENTRY_BYTES = 1_500_000;
  private static final int ENTRIES = 60;

  /** What a replica may have to keep: a snapshot interval, and what arrives meanwhile. */
  private static final long MAX_KEPT_BYTES = 12L * ENTRY_BYTES;

  private final LastCommandStorage storage = new LastCommandStorage();
  private ReplicatedLog<Integer> log;

  /** State machine that keeps the last command. */
  private static final class LastCommand implements ReplicatedStateMachine<Integer> {
    private byte[] last = {};

    @Override
    public Integer apply(LogEntry entry) {
      last = entry.command();
      return last.length;
    }

    @Override
    public Supplier<byte[]> snapshot() {
      byte[] state = last;
      return () -> state;
    }

    @Override
    public void restore(byte[] state) {
      last = state;
    }

    @Override
    public void onApplied(long applied) {}
  }

  /** Keeps the sizes of the entries after the last snapshot, as a journal has to. */
  private static final class LastCommandStorage implements LogStorage {
    private final MemoryStorage memory = new MemoryStorage();
    private final List<LogEntry> entries = new ArrayList<>();
    private final List<Long> keptBytes = Collections.synchronizedList(new ArrayList<>());

    @Override
    public RecoveredLog recover() {
      return memory.recover();
    }

    @Override
    public void write(LogAction.Persist write) {
      if (write instanceof LogAction.PersistEntries added) {
        entries.addAll(added.entries());
      } else if (write instanceof LogAction.PersistSnapshot taken) {
        long last = taken.snapshot().index().number();
        entries.removeIf(entry -> entry.index().number() <= last);
      }
      keptBytes.add(entries.stream().mapToLong(LogEntry::sizeBytes).sum());
    }

    @Override
    public void sync() {
      memory.sync();
    }

    @Override
    public void close() {
      memory.close();
    }
  }

  @BeforeEach
  void start() throws StorageException {
    log = SingleReplicaLog.create(storage, new LastCommand());
    SingleReplicaLog.startAndLead(log);
  }

  @AfterEach
  void stop() {
    log.close();
  }

  @Test
  void entriesThatAreKeptAreBoundedInBytes() {
    for (int i = 0; i < ENTRIES; i++) {
      assertThat(log.propose(new byte[ENTRY_BYTES]).block(TIMEOUT)).isEqualTo(ENTRY_BYTES);
    }
    assertThat(Collections.max(List.copyOf(storage.keptBytes))).isAtMost(MAX_KEPT_BYTES);
  }
}
