package org.primrosegauge.node.log;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.RecoveredLog;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.journal.Journal;

/** Tests the lease of a leader while it applies several entries that were committed together. */
class BatchedCommitTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int COMMANDS = 5;

  @TempDir Path folder;
  private final MonotonicClock clock = MonotonicClock.system();
  private final List<Boolean> leases = new ArrayList<>();
  private final CountDownLatch allProposed = new CountDownLatch(1);
  private int failingAt;
  private ReplicatedLog<Integer> log;

  /**
   * Storage whose syncs block until all commands are proposed, so that the next sync covers all of
   * them.
   */
  private final class BlockingStorage implements LogStorage {
    private final Journal journal = new Journal(folder);

    @Override
    public RecoveredLog recover() throws StorageException {
      return journal.recover();
    }

    @Override
    public void write(LogAction.Persist write) throws StorageException {
      journal.write(write);
    }

    @Override
    public void sync() throws StorageException {
      try {
        if (log.leader() != null && !allProposed.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
          throw new StorageException("timed out: the commands were not proposed", "", "");
        }
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
      journal.sync();
    }

    @Override
    public void close() {
      journal.close();
    }
  }

  /** Records for each applied entry whether the lease is valid. */
  private final class LeaseRecorder implements ReplicatedStateMachine<Integer> {

    @Override
    public Integer apply(LogEntry entry) {
      leases.add(log.holdsLease(clock.nowMillis()));
      if (leases.size() == failingAt) {
        throw new IllegalStateException("state machine fails on this entry");
      }
      return leases.size();
    }

    @Override
    public Supplier<byte[]> snapshot() {
      return () -> new byte[0];
    }

    @Override
    public void restore(byte[] state) {
      throw new IllegalStateException("unexpected restore");
    }

    @Override
    public void onApplied(long applied) {}
  }

  private void startAndLead() throws Exception {
    log = SingleReplicaLog.create(new BlockingStorage(), new LeaseRecorder());
    SingleReplicaLog.startAndLead(log);
  }

  /**
   * Guards against a lease that is reported as invalid for all but the last entry of a batch:
   * requests to workers that resulted from the other entries were not sent.
   */
  @Test
  void leaseIsValidAtEachEntryOfBatch() throws Exception {
    startAndLead();
    proposeAtOnce().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    log.close();
    assertThat(leases).hasSize(COMMANDS);
    assertThat(leases).doesNotContain(false);
  }

  /**
   * Guards against a new leader that acts before it has applied the entries of earlier terms. After
   * a power loss of all instances (run swancoast-cut trouble-1), the new leader stopped runs whose
   * log entries it had not applied yet.
   */
  @Test
  void leaseIsNotReportedBeforeEntriesOfEarlierTermsAreApplied() throws Exception {
    startAndLead();
    proposeAtOnce().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    log.close();
    leases.clear();
    startAndLead();
    proposeAtOnce().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    log.close();
    assertThat(leases.subList(0, COMMANDS)).doesNotContain(true);
    assertThat(leases.subList(COMMANDS, 2 * COMMANDS)).doesNotContain(false);
  }

  /**
   * Guards against skipping the rest of a batch after an entry that fails, with no trace but one
   * log line.
   */
  @Test
  void entryThatFailsDoesNotPreventLaterOnes() throws Exception {
    failingAt = 2;
    startAndLead();
    int last = proposeAtOnce().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    log.close();
    assertThat(last).isEqualTo(COMMANDS);
  }

  private CompletableFuture<Integer> proposeAtOnce() {
    CompletableFuture<Integer> last = new CompletableFuture<>();
    log.duty()
        .offer(
            () -> {
              for (int i = 1; i < COMMANDS; i++) {
                log.propose(new byte[] {1}).subscribe();
              }
              log.propose(new byte[] {1}).subscribe(last::complete);
              allProposed.countDown();
            });
    return last;
  }
}
