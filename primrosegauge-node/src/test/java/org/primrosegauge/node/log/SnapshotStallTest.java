package org.primrosegauge.node.log;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogMessage;
import org.primrosegauge.core.log.RecoveredLog;
import org.primrosegauge.core.log.cfg.LogSettings;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.transport.PeerSecurity;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.MessageTypes;

/** A log of one replica whose snapshots take as long as the test likes. */
class SnapshotStallTest {

  private static final InstanceId SELF = new InstanceId("a");
  private static final Duration PATIENCE = Duration.ofSeconds(30);
  private static final int RING_CAPACITY = 8_192;
  private static final int MORE_THAN_A_SNAPSHOT = 2_100;

  private final CountDownLatch mayWrite = new CountDownLatch(1);
  private final BlockingQueue<Long> frozen = new LinkedBlockingQueue<>();
  private final BlockingQueue<Long> persisted = new LinkedBlockingQueue<>();
  private ReplicatedLog<Long> log;

  /** Counts the commands; its snapshots wait until the test lets them go on. */
  private final class CountingState implements AppliedState<Long> {
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
      throw new IllegalStateException("nothing restores here");
    }

    @Override
    public void changed(long applied) {}
  }

  private final class WatchedStorage implements LogStorage {
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
      assertThat(mayWrite.await(PATIENCE.toSeconds(), TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @BeforeEach
  void start() throws StorageException {
    FrameCodec codec =
        new FrameCodec(MessageTypes.builder().family("log", LogMessage.class).build());
    log =
        new ReplicatedLog<>(
            LogSettings.of(SELF, List.of(SELF)),
            RING_CAPACITY,
            MonotonicClock.system().nowMillis(),
            new ReplicatedLog.Ports(
                new WatchedStorage(),
                new Random(1),
                MonotonicClock.system(),
                new PeerTransport(SELF, codec, new NodeMetrics(), PeerSecurity.NONE),
                failure -> {
                  throw new IllegalStateException(failure);
                }),
            new CountingState());
    log.start();
    while (log.leader() == null) {
      Thread.onSpinWait();
    }
  }

  @AfterEach
  void stop() {
    mayWrite.countDown();
    log.close();
  }

  private long propose(int commands) {
    long last = 0;
    for (int i = 0; i < commands; i++) {
      last = log.propose(new byte[] {1}).block(PATIENCE);
    }
    return last;
  }

  /** Issue 16: all replicas stood still for their leader's lease while they wrote a snapshot. */
  @Test
  void logGoesOnWhileSnapshotIsWritten() throws Exception {
    propose(MORE_THAN_A_SNAPSHOT);
    assertThat(frozen.poll(PATIENCE.toSeconds(), TimeUnit.SECONDS)).isNotNull();
    assertThat(propose(MORE_THAN_A_SNAPSHOT)).isEqualTo(2 * MORE_THAN_A_SNAPSHOT);
    assertThat(frozen).isEmpty();
    assertThat(persisted).isEmpty();
    mayWrite.countDown();
    assertThat(persisted.poll(PATIENCE.toSeconds(), TimeUnit.SECONDS)).isNotNull();
    propose(1);
    assertThat(frozen.poll(PATIENCE.toSeconds(), TimeUnit.SECONDS)).isNotNull();
  }
}
