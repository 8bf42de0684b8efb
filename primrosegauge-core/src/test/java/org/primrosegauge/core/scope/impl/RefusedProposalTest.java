package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.LookAnswer;
import org.primrosegauge.core.scope.Present;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.StartAnswer;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;
import org.primrosegauge.core.scope.WorkerStatus;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/** What a log that is overloaded refuses must not be lost for the rest of the term. */
class RefusedProposalTest {

  private static final ServiceId POOL = new ServiceId("pool");
  private static final JobId JOB = new JobId("job");
  private static final Resources TASK = new Resources(1_000, 1_000, 1);
  private static final WorkerInfo WORKER =
      new WorkerInfo(
          new WorkerKey(new TargetId("w"), 1),
          new HostPort("10.0.0.1", 80),
          POOL,
          new FailureDomainId("d"),
          new Resources(8_000, 8_000, 8),
          List.of(),
          "");

  private final ScopeLedger ledger = new ScopeLedger(60_000);
  private final ScopeCore core = new ScopeCore(ledger, ScopeSettings.DEFAULT);
  private long now = 100_000;

  /** LOST by reading: a start was rejected, the log refused the record, the task stayed open. */
  @Test
  void endOfRunThatNeverStartedIsProposedAgain() {
    ScopeAction.Start start = startTask();
    core.startAnswered(start.run(), StartAnswer.NO_ROOM, now, present());
    ScopeCommand.RecordEnds refused = proposedEnds().get(0);
    core.proposalFailed(refused);
    assertThat(settle()).contains(refused.ends());
  }

  private ScopeAction.Start startTask() {
    final StepSpec step = StepSpec.builder(1).task(TASK).estimatedMillis(60_000).build();
    ledger.apply(new ScopeCommand.SeeWorker(WORKER));
    core.takeOffice(new Term(1), present());
    core.workerReported(new WorkerStatus(WORKER, 1, false, 0, now), present());
    core.look(present());
    core.lookAnswered(
        WORKER.key(), new LookAnswer(LookAnswer.Kind.REPORT, now, List.of(), List.of()), present());
    apply(
        new ScopeCommand.Submit(
            new ScopeJob(
                JOB,
                new QueueName("q"),
                POOL,
                null,
                3,
                now,
                "payload",
                List.of(step),
                Recurrence.NONE)));
    core.plan(present());
    core.takeActions().stream()
        .filter(ScopeAction.Propose.class::isInstance)
        .map(action -> ((ScopeAction.Propose) action).command())
        .forEach(this::apply);
    return core.takeActions().stream()
        .filter(ScopeAction.Start.class::isInstance)
        .map(ScopeAction.Start.class::cast)
        .findFirst()
        .orElseThrow();
  }

  /** Lets a second pass; returns the ends that are proposed meanwhile. */
  private List<List<?>> settle() {
    List<List<?>> found = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      now += 50;
      core.tick(present());
      core.look(present());
      proposedEnds().forEach(command -> found.add(command.ends()));
    }
    return found;
  }

  private List<ScopeCommand.RecordEnds> proposedEnds() {
    return core.takeActions().stream()
        .filter(ScopeAction.Propose.class::isInstance)
        .map(action -> ((ScopeAction.Propose) action).command())
        .filter(ScopeCommand.RecordEnds.class::isInstance)
        .map(ScopeCommand.RecordEnds.class::cast)
        .toList();
  }

  private void apply(ScopeCommand command) {
    ledger.apply(command);
    core.applied(command, present());
  }

  private Present present() {
    return new Present(now, now);
  }
}
