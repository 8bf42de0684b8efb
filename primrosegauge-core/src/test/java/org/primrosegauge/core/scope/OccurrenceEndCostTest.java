package org.primrosegauge.core.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.job.Resources;

/**
 * Guards against LOST: each end of a run went through all occurrences of its job that had begun, so
 * that a schedule with thousands of due times kept the leaders from their leases.
 */
class OccurrenceEndCostTest {

  private static final int ENDS = 10;
  private static final WorkerInfo WORKER =
      new WorkerInfo(
          new WorkerKey(new TargetId("w"), 1),
          new HostPort("10.0.0.1", 80),
          new ServiceId("pool"),
          new FailureDomainId("d"),
          new Resources(64_000, 64_000, 8),
          List.of(),
          "");

  private static ScopeJob job(int occurrences) {
    StepSpec step = StepSpec.builder(1).task(new Resources(10, 4, 0)).build();
    return new ScopeJob(
        new JobId("00aa"),
        new QueueName("q"),
        new ServiceId("pool"),
        null,
        3,
        1_000,
        "payload",
        List.of(step, step),
        new Recurrence(1_000, 1, occurrences));
  }

  private static long examinedByEnds(int occurrences) {
    ScopeLedger ledger = new ScopeLedger(60_000);
    ScopeJob job = job(occurrences);
    ledger.apply(new ScopeCommand.Submit(job));
    ledger.apply(new ScopeCommand.SeeWorker(WORKER));
    List<RunId> runs = new ArrayList<>();
    for (int number = 0; number < occurrences; number++) {
      runs.add(new RunId(new StepKey(job.id(), number, 0).task(0), 1));
    }
    ledger.apply(
        new ScopeCommand.Place(
            runs.stream().map(run -> new Placement(run, WORKER.key())).toList()));
    for (int i = 0; i < ENDS; i++) {
      RunEnd end = new RunEnd(runs.get(i), RunOutcome.DONE, "");
      ledger.apply(new ScopeCommand.RecordEnds(WORKER.key(), i + 1, List.of(end), 2_000));
    }
    assertThat(ledger.job(job.id()).orElseThrow().openRuns()).isEqualTo(occurrences - ENDS);
    return ledger.examinedSteps();
  }

  @ParameterizedTest
  @ValueSource(ints = {100, 8_640})
  void costOfAnEndGrowsWithTheOccurrencesOfItsJob(int occurrences) {
    assertThat(examinedByEnds(occurrences)).isEqualTo(examinedByEnds(ENDS));
  }
}
