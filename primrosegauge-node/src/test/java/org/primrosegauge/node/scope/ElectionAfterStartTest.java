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
  private static final long LONGEST_ELECTION_MILLIS = 1_300;
  private static final Duration PATIENCE = Duration.ofSeconds(30);
  private static final int TURNS = 20;

  /** After the loss of all leaders each replica waited anew, whatever its start had taken. */
  @Test
  void timeThatTheStartHasTakenCounts() throws Exception {
    try (ScopeDuty duty = duty(-LONGEST_ELECTION_MILLIS)) {
      long end = System.nanoTime() + PATIENCE.toNanos();
      while (!SELF.equals(duty.leader()) && System.nanoTime() < end) {
        Thread.onSpinWait();
      }
      assertThat(duty.leader()).isEqualTo(SELF);
    }
  }

  /** A replica may have promised its support to a leader right before it ended. */
  @Test
  void replicaThatHasJustStartedElectsNobody() throws Exception {
    try (ScopeDuty duty = duty(0)) {
      CountDownLatch turns = new CountDownLatch(TURNS);
      for (int i = 0; i < TURNS; i++) {
        duty.joinIfNeeded().doFinally(signal -> turns.countDown()).subscribe();
      }
      assertThat(turns.await(PATIENCE.toSeconds(), TimeUnit.SECONDS)).isTrue();
      assertThat(duty.leader()).isNull();
    }
  }

  private static ScopeDuty duty(long sinceMillis) throws StorageException {
    ScopeLedger ledger = new ScopeLedger(60_000);
    ScopeDuty duty =
        new ScopeDuty(
            ScopeInstance.logSettings(SELF, List.of(SELF), 1),
            ledger,
            new ScopeScheduler(ledger, ScopeSettings.DEFAULT),
            sinceMillis,
            ScopePorts.alone(SELF, new MemoryStorage(), () -> 0, null));
    duty.start();
    return duty;
  }
}
