package org.primrosegauge.node.log;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.RecoveredLog;

/** Tests a log with one replica whose snapshots block until the test releases them. */
class SnapshotStallTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int COMMANDS_PER_SNAPSHOT = 2_100;

  private final CountDownLatch writeAllowed = new CountDownLatch(1);
  private final BlockingQueue<Long> frozen = new LinkedBlockingQueue<>();
  private final BlockingQueue<Long> persisted = new LinkedBlockingQueue<>();
  private ReplicatedLog<Long> log;

  /** State machine that counts commands. Its snapshots block until the test releases them. */
  private final class CountingState implements ReplicatedStateMachine<Long> {
    private long count;

    @Override
    public Long apply(LogEntry entry) {
      return ++count;
    }

    @Override
    public Supplier<byte[]> snapshot() {
      frozen.add(count);
      return () -> {
        awaitWrite();
        return new byte[] {1};
      };
    }

    @Override
    public void restore(byte[] state) {
      throw new IllegalStateException("unexpected restore");
    }

    @Override
    public void onApplied(long applied) {}
  }

  private final class RecordingStorage implements LogStorage {
    private final MemoryStorage memory = new MemoryStorage();

    @Override
    public RecoveredLog recover() {
      return memory.recover();
    }

    @Override
    public void write(LogAction.Persist write) {
      if (write instanceof LogAction.PersistSnapshot snapshot) {
        persisted.add(snapshot.snapshot().index().number());
      }
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

  private void awaitWrite() {
    try {
      assertThat(writeAllowed.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @BeforeEach
  void start() throws StorageException {
    log = SingleReplicaLog.create(new RecordingStorage(), new CountingState());
    SingleReplicaLog.startAndLead(log);
  }

  @AfterEach
  void stop() {
    writeAllowed.countDown();
    log.close();
  }

  private long propose(int commands) {
    long last = 0;
    for (int i = 0; i < commands; i++) {
      last = log.propose(new byte[] {1}).block(TIMEOUT);
    }
    return last;
  }

  /**
   * Guards against issue 16: all replicas stopped for the length of the leader lease while they
   * wrote a snapshot.
   */
  @Test
  void logKeepsCommittingWhileSnapshotIsWritten() throws Exception {
    propose(COMMANDS_PER_SNAPSHOT);
    assertThat(frozen.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isNotNull();
    assertThat(propose(COMMANDS_PER_SNAPSHOT)).isEqualTo(2 * COMMANDS_PER_SNAPSHOT);
    assertThat(frozen).isEmpty();
    assertThat(persisted).isEmpty();
    writeAllowed.countDown();
    assertThat(persisted.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isNotNull();
    propose(1);
    assertThat(frozen.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isNotNull();
  }
}
