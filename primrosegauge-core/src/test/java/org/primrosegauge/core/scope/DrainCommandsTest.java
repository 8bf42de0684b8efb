package org.primrosegauge.core.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.job.Resources;

/** Drain state that is committed before the heartbeat of a worker is acknowledged. */
class DrainCommandsTest {

  private static final long EARLIER = 10;
  private static final long LATER = 20;

  private final ScopeLedger ledger = new ScopeLedger(1_000);

  private static WorkerHeartbeat heartbeat(long bornMillis, boolean isDraining) {
    return heartbeat(bornMillis, isDraining, 1);
  }

  private static WorkerHeartbeat heartbeat(long bornMillis, boolean isDraining, long sequence) {
    WorkerInfo info =
        new WorkerInfo(
            new WorkerKey(new TargetId("w1"), bornMillis),
            new HostPort("127.0.0.1", 9),
            new ServiceId("pool"),
            new FailureDomainId("d1"),
            new Resources(8_000, 8_000, 8),
            List.of(),
            "r1");
    return new WorkerHeartbeat(info, sequence, isDraining, 0, 0);
  }

  private void acknowledge(WorkerHeartbeat heartbeat) {
    DrainCommands.forHeartbeat(ledger, heartbeat).forEach(ledger::apply);
  }

  private boolean isDraining(long bornMillis) {
    return ledger.worker(heartbeat(bornMillis, false).info().key()).orElseThrow().isDraining();
  }

  /**
   * After a restart of all instances, the heartbeat of a draining worker may arrive before the
   * worker is registered in the log; its drain must not be lost.
   */
  @Test
  void drainOfUnknownWorkerIsRecorded() {
    acknowledge(heartbeat(EARLIER, true));
    assertThat(isDraining(EARLIER)).isTrue();
  }

  @Test
  void cancelledDrainIsRecorded() {
    acknowledge(heartbeat(EARLIER, true));
    acknowledge(heartbeat(EARLIER, false, 2));
    assertThat(isDraining(EARLIER)).isFalse();
  }

  /**
   * Guards against DRAIN: an earlier heartbeat that arrived late, after a change of leader, undid a
   * drain that had been acknowledged.
   */
  @Test
  void lateHeartbeatDoesNotUndoTheDrain() {
    acknowledge(heartbeat(EARLIER, false, 3));
    acknowledge(heartbeat(EARLIER, true, 5));
    acknowledge(heartbeat(EARLIER, false, 4));
    assertThat(isDraining(EARLIER)).isTrue();
  }

  @Test
  void lateHeartbeatDoesNotUndoTheDrainAfterSnapshot() {
    acknowledge(heartbeat(EARLIER, true, 5));
    ledger.restore(ledger.snapshot());
    acknowledge(heartbeat(EARLIER, false, 4));
    assertThat(isDraining(EARLIER)).isTrue();
    acknowledge(heartbeat(EARLIER, false, 6));
    assertThat(isDraining(EARLIER)).isFalse();
  }

  @Test
  void unchangedDrainStateIsNotRecorded() {
    acknowledge(heartbeat(EARLIER, true));
    assertThat(DrainCommands.forHeartbeat(ledger, heartbeat(EARLIER, true))).isEmpty();
    assertThat(DrainCommands.forHeartbeat(ledger, heartbeat(LATER, false))).isEmpty();
  }

  @Test
  void drainOfEarlierIncarnationIsIgnored() {
    ledger.apply(new ScopeCommand.SeeWorker(heartbeat(LATER, false).info()));
    acknowledge(heartbeat(EARLIER, true));
    assertThat(isDraining(LATER)).isFalse();
    assertThat(ledger.workers()).hasSize(1);
  }

  /** A late heartbeat must not register an earlier incarnation next to its successor. */
  @Test
  void earlierIncarnationIsNotRegisteredAgain() {
    ledger.apply(new ScopeCommand.SeeWorker(heartbeat(LATER, false).info()));
    ledger.apply(new ScopeCommand.SeeWorker(heartbeat(EARLIER, false).info()));
    assertThat(ledger.workers()).hasSize(1);
    assertThat(ledger.worker(heartbeat(LATER, false).info().key())).isPresent();
  }
}
