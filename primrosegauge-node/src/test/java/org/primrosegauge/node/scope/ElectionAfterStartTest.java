package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.ScopeScheduler;
import org.primrosegauge.core.scope.cfg.ScopeSettings;
import org.primrosegauge.node.log.MemoryStorage;

/**
 * When a replica that has just started may elect. Its clock stands still, so only the time that has
 * passed since its process started counts.
 */
class ElectionAfterStartTest {

  private static final InstanceId SELF = new InstanceId("a");
  private static final long MAX_ELECTION_TIMEOUT_MILLIS = 1_300;
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int LOG_THREAD_TASKS = 20;

  /** After the loss of all leaders each replica waited anew, whatever its start had taken. */
  @Test
  void startupTimeCountsTowardsElectionTimeout() throws Exception {
    try (ScopeReplica duty = startReplica(-MAX_ELECTION_TIMEOUT_MILLIS)) {
      long end = System.nanoTime() + TIMEOUT.toNanos();
      while (!SELF.equals(duty.leader()) && System.nanoTime() < end) {
        Thread.onSpinWait();
      }
      assertThat(duty.leader()).isEqualTo(SELF);
    }
  }

  /** A replica may have promised its support to a leader right before it ended. */
  @Test
  void replicaThatHasJustStartedDoesNotStartElection() throws Exception {
    try (ScopeReplica duty = startReplica(0)) {
      CountDownLatch turns = new CountDownLatch(LOG_THREAD_TASKS);
      for (int i = 0; i < LOG_THREAD_TASKS; i++) {
        duty.joinRequestIfNeeded().doFinally(signal -> turns.countDown()).subscribe();
      }
      assertThat(turns.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
      assertThat(duty.leader()).isNull();
    }
  }

  private static ScopeReplica startReplica(long sinceMillis) throws StorageException {
    ScopeLedger ledger = new ScopeLedger(60_000);
    ScopeReplica duty =
        new ScopeReplica(
            ScopeInstance.logSettings(SELF, List.of(SELF), 1),
            ledger,
            new ScopeScheduler(ledger, ScopeSettings.DEFAULT),
            sinceMillis,
            TestDependencies.singleInstance(SELF, new MemoryStorage(), () -> 0, null));
    duty.start();
    return duty;
  }
}
