package org.primrosegauge.core.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.job.Resources;

/** What the log holds of a worker's leave when its heartbeat is acknowledged. */
class DrainCommandsTest {

  private static final long EARLIER = 10;
  private static final long LATER = 20;

  private final ScopeLedger ledger = new ScopeLedger(1_000);

  private static WorkerHeartbeat heartbeat(long bornMillis, boolean isDraining) {
    WorkerInfo info =
        new WorkerInfo(
            new WorkerKey(new TargetId("w1"), bornMillis),
            new HostPort("127.0.0.1", 9),
            new ServiceId("pool"),
            new FailureDomainId("d1"),
            new Resources(8_000, 8_000, 8),
            List.of(),
            "r1");
    return new WorkerHeartbeat(info, 1, isDraining, 0, 0);
  }

  private void acknowledge(WorkerHeartbeat status) {
    DrainCommands.forHeartbeat(ledger, status).forEach(ledger::apply);
  }

  private boolean isDraining(long bornMillis) {
    return ledger.worker(heartbeat(bornMillis, false).info().key()).orElseThrow().isDraining();
  }

  /** Found by a restart of all instances: the leave came before the worker was in the log. */
  @Test
  void drainOfUnknownWorkerIsRecorded() {
    acknowledge(heartbeat(EARLIER, true));
    assertThat(isDraining(EARLIER)).isTrue();
  }

  @Test
  void cancelledDrainIsRecorded() {
    acknowledge(heartbeat(EARLIER, true));
    acknowledge(heartbeat(EARLIER, false));
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

  /** A late heartbeat of an earlier lifetime must not bring it back beside its successor. */
  @Test
  void earlierIncarnationIsNotRegisteredAgain() {
    ledger.apply(new ScopeCommand.SeeWorker(heartbeat(LATER, false).info()));
    ledger.apply(new ScopeCommand.SeeWorker(heartbeat(EARLIER, false).info()));
    assertThat(ledger.workers()).hasSize(1);
    assertThat(ledger.worker(heartbeat(LATER, false).info().key())).isPresent();
  }
}
