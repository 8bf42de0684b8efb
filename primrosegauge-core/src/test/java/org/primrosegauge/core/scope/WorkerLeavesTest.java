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
class WorkerLeavesTest {

  private static final long EARLIER = 10;
  private static final long LATER = 20;

  private final ScopeLedger ledger = new ScopeLedger(1_000);

  private static WorkerStatus status(long bornMillis, boolean isDraining) {
    WorkerInfo info =
        new WorkerInfo(
            new WorkerKey(new TargetId("w1"), bornMillis),
            new HostPort("127.0.0.1", 9),
            new ServiceId("pool"),
            new FailureDomainId("d1"),
            new Resources(8_000, 8_000, 8),
            List.of(),
            "r1");
    return new WorkerStatus(info, 1, isDraining, 0, 0);
  }

  private void acknowledge(WorkerStatus status) {
    WorkerLeaves.toRecord(ledger, status).forEach(ledger::apply);
  }

  private boolean isDraining(long bornMillis) {
    return ledger.worker(status(bornMillis, false).info().key()).orElseThrow().isDraining();
  }

  /** Found by a restart of all instances: the leave came before the worker was in the log. */
  @Test
  void leaveOfWorkerThatIsNotYetKnownIsRecordedToo() {
    acknowledge(status(EARLIER, true));
    assertThat(isDraining(EARLIER)).isTrue();
  }

  @Test
  void workerThatStaysAfterAllIsRecordedSo() {
    acknowledge(status(EARLIER, true));
    acknowledge(status(EARLIER, false));
    assertThat(isDraining(EARLIER)).isFalse();
  }

  @Test
  void nothingNewIsNotRecorded() {
    acknowledge(status(EARLIER, true));
    assertThat(WorkerLeaves.toRecord(ledger, status(EARLIER, true))).isEmpty();
    assertThat(WorkerLeaves.toRecord(ledger, status(LATER, false))).isEmpty();
  }

  @Test
  void leaveOfAnEarlierLifetimeChangesNothing() {
    ledger.apply(new ScopeCommand.SeeWorker(status(LATER, false).info()));
    acknowledge(status(EARLIER, true));
    assertThat(isDraining(LATER)).isFalse();
    assertThat(ledger.workers()).hasSize(1);
  }

  /** A late heartbeat of an earlier lifetime must not bring it back beside its successor. */
  @Test
  void earlierLifetimeIsNotTakenInAgain() {
    ledger.apply(new ScopeCommand.SeeWorker(status(LATER, false).info()));
    ledger.apply(new ScopeCommand.SeeWorker(status(EARLIER, false).info()));
    assertThat(ledger.workers()).hasSize(1);
    assertThat(ledger.worker(status(LATER, false).info().key())).isPresent();
  }
}
