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
 * When a replica that has just started may start an election. Its clock does not advance, so only
 * the time since the start of its process counts.
 */
class ElectionAfterStartTest {

  private static final InstanceId SELF = new InstanceId("a");
  private static final long MAX_ELECTION_TIMEOUT_MILLIS = 1_300;
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int LOG_THREAD_TASKS = 20;

  /**
   * Guards against a restarted replica that waits for a full election timeout however long its
   * startup took.
   */
  @Test
  void startupTimeCountsTowardsElectionTimeout() throws Exception {
    try (ScopeReplica replica = startReplica(-MAX_ELECTION_TIMEOUT_MILLIS)) {
      long end = System.nanoTime() + TIMEOUT.toNanos();
      while (!SELF.equals(replica.leader()) && System.nanoTime() < end) {
        Thread.onSpinWait();
      }
      assertThat(replica.leader()).isEqualTo(SELF);
    }
  }

  /** A replica may have granted a leader its lease immediately before its process ended. */
  @Test
  void replicaThatHasJustStartedDoesNotStartElection() throws Exception {
    try (ScopeReplica replica = startReplica(0)) {
      CountDownLatch tasksRun = new CountDownLatch(LOG_THREAD_TASKS);
      for (int i = 0; i < LOG_THREAD_TASKS; i++) {
        replica.joinRequestIfNeeded().doFinally(signal -> tasksRun.countDown()).subscribe();
      }
      assertThat(tasksRun.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
      assertThat(replica.leader()).isNull();
    }
  }

  private static ScopeReplica startReplica(long sinceMillis) throws StorageException {
    ScopeLedger ledger = new ScopeLedger(60_000);
    ScopeReplica replica =
        new ScopeReplica(
            ScopeInstance.logSettings(SELF, List.of(SELF), 1, 4_000),
            ledger,
            new ScopeScheduler(ledger, ScopeSettings.DEFAULT),
            sinceMillis,
            TestDependencies.singleInstance(SELF, new MemoryStorage(), () -> 0, null));
    replica.start();
    return replica;
  }
}
