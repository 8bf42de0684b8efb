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

/** What a leader knows of itself while it applies several entries that were committed at once. */
class BatchedCommitTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int COMMANDS = 5;

  @TempDir Path folder;
  private final MonotonicClock clock = MonotonicClock.system();
  private final List<Boolean> leases = new ArrayList<>();
  private final CountDownLatch allProposed = new CountDownLatch(1);
  private int failingAt;
  private ReplicatedLog<Integer> log;

  /** Storage whose syncs wait until all commands are proposed, so that the next one is for many. */
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
          throw new StorageException("nothing was proposed", "", "");
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

  /** Notes whether the lease holds at each entry. */
  private final class LeaseRecorder implements ReplicatedStateMachine<Integer> {

    @Override
    public Integer apply(LogEntry entry) {
      leases.add(log.holdsLease(clock.nowMillis()));
      if (leases.size() == failingAt) {
        throw new IllegalStateException("an entry that the state cannot handle");
      }
      return leases.size();
    }

    @Override
    public Supplier<byte[]> snapshot() {
      return () -> new byte[0];
    }

    @Override
    public void restore(byte[] state) {
      throw new IllegalStateException("nothing restores here");
    }

    @Override
    public void onApplied(long applied) {}
  }

  private void startAndLead() throws Exception {
    log = SingleReplicaLog.create(new BlockingStorage(), new LeaseRecorder());
    SingleReplicaLog.startAndLead(log);
  }

  /** Orders that followed from all but the last entry of a batch did not leave. */
  @Test
  void leaseHoldsAtEachEntryOfBatch() throws Exception {
    startAndLead();
    proposeAtOnce().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    log.close();
    assertThat(leases).hasSize(COMMANDS);
    assertThat(leases).doesNotContain(false);
  }

  /**
   * Found on swancoast-cut trouble-1 after a loss of power everywhere: while the new leader applied
   * its log, it stopped runs of which it had not read yet.
   */
  @Test
  void nothingLeavesBeforeTheEntriesOfEarlierTermsAreApplied() throws Exception {
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

  /** The rest of the batch was passed over without a trace but one line in the log. */
  @Test
  void entryThatFailsDoesNotTakeThoseBehindItAlong() throws Exception {
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
