package org.primrosegauge.core.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/** Answers that arrive when the replica that asked has lost its office and taken it again. */
class StaleTermPollResultTest {

  private static final Resources TASK = new Resources(1_000, 1_000, 1);
  private static final WorkerInfo WORKER =
      new WorkerInfo(
          new WorkerKey(new TargetId("w"), 1),
          new HostPort("10.0.0.1", 80),
          new ServiceId("pool"),
          new FailureDomainId("d"),
          new Resources(8_000, 8_000, 8),
          List.of(),
          "");

  private final ScopeLedger ledger = new ScopeLedger(60_000);
  private final ScopeScheduler scheduler = new ScopeScheduler(ledger, ScopeSettings.DEFAULT);
  private final ClockReading now = new ClockReading(100_000, 100_000);

  /** A report from before the start of a run said that the run had never begun. */
  @Test
  void pollResultOfEarlierTermIsIgnored() {
    ledger.apply(new ScopeCommand.SeeWorker(WORKER));
    scheduler.startLeading(new Term(1), now);
    final ScopeAction.Poll asked = firstPoll(scheduler.pollWorkers(now));
    scheduler.stopLeading();
    place();
    scheduler.startLeading(new Term(3), now);
    PollResult nothing =
        new PollResult(PollResult.Kind.REPORT, now.monotonicMillis(), List.of(), List.of());
    assertThat(scheduler.handlePollResult(asked, nothing, now)).isEmpty();
    assertThat(scheduler.tick(now)).isEmpty();
    assertThat(firstPoll(scheduler.pollWorkers(now)).term()).isEqualTo(new Term(3));
  }

  /** A leader in between has had a run started. */
  private void place() {
    StepSpec step = StepSpec.builder(1).task(TASK).estimatedMillis(60_000).build();
    JobId job = new JobId("job");
    ledger.apply(
        new ScopeCommand.Submit(
            new ScopeJob(
                job,
                new QueueName("q"),
                new ServiceId("pool"),
                null,
                3,
                0,
                "payload",
                List.of(step),
                Recurrence.NONE)));
    RunId run = new RunId(new StepKey(job, 0, 0).task(0), 1);
    ledger.apply(new ScopeCommand.Place(List.of(new Placement(run, WORKER.key()))));
  }

  private static ScopeAction.Poll firstPoll(List<ScopeAction> actions) {
    return (ScopeAction.Poll) actions.get(0);
  }
}
