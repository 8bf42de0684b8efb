package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.scope.JobStatus;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.RunEnd;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeSnapshot;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;

/**
 * Guards against LOST: a task of a long-running step whose run ended as done was taken for complete
 * and not started again, and a job of which all tasks ended so was shown as completed.
 */
class LastingTaskTest {

  private static final JobId JOB = new JobId("job");
  private static final int TASKS = 3;
  private static final int WORKERS = 6;
  private static final long RETRY_MILLIS = 1_500;

  private final CoreFixture fixture = new CoreFixture();
  private final Map<RunId, WorkerKey> running = new HashMap<>();
  private final Map<WorkerKey, Long> ends = new HashMap<>();

  private void start(boolean isGang) {
    fixture.startLeading(1);
    for (int i = 0; i < WORKERS; i++) {
      fixture.registerAndPoll(CoreFixture.worker(i, 1));
    }
    StepSpec step =
        StepSpec.builder(TASKS)
            .task(CoreFixture.TASK)
            .longRunning(true)
            .gang(isGang)
            .maxPerWorker(1)
            .build();
    fixture.submit(JOB.value(), step);
    startPlaced();
    assertThat(running).hasSize(TASKS);
  }

  /** Plans until nothing more is placed, and has the workers start what was. */
  private List<RunId> startPlaced() {
    List<RunId> started = new ArrayList<>();
    for (int pass = 0; pass < 3; pass++) {
      fixture.plan();
      answerProbes();
      fixture.commitAll();
      for (ScopeAction.Start start : fixture.take(ScopeAction.Start.class)) {
        started.add(start.run());
        running.put(start.run(), start.worker());
        fixture.core.handleStartResult(
            start.run(), StartResult.STARTED, fixture.nowMillis, fixture.now());
      }
    }
    return started;
  }

  private void answerProbes() {
    for (ScopeAction.Probe probe : fixture.take(ScopeAction.Probe.class)) {
      PollResult report =
          new PollResult(PollResult.Kind.REPORT, fixture.nowMillis, List.of(), List.of());
      fixture.core.handleProbeResult(probe.worker(), report, fixture.now());
    }
  }

  private void end(RunId run, RunOutcome outcome) {
    WorkerKey worker = running.remove(run);
    if (outcome == RunOutcome.WORKER_LOST) {
      fixture.apply(new ScopeCommand.ForgetWorker(worker));
      return;
    }
    long number = ends.merge(worker, 1L, Long::sum);
    List<RunEnd> recorded = List.of(new RunEnd(run, outcome, ""));
    fixture.apply(new ScopeCommand.RecordEnds(worker, number, recorded, fixture.nowMillis));
  }

  private void endAll(RunOutcome outcome) {
    List.copyOf(running.keySet()).forEach(run -> end(run, outcome));
  }

  /** Lets the time of any retry delay pass, in which all workers respond. */
  private void waitForRetry() {
    fixture.nowMillis += RETRY_MILLIS;
    for (int i = 0; i < WORKERS; i++) {
      WorkerInfo worker = CoreFixture.worker(i, 1);
      fixture.heartbeat(worker, false);
      RunId[] reported =
          running.entrySet().stream()
              .filter(run -> run.getValue().equals(worker.key()))
              .map(Map.Entry::getKey)
              .toArray(RunId[]::new);
      fixture.answerPoll(worker, reported);
    }
  }

  private List<Integer> startedTasks(List<RunId> runs) {
    return runs.stream().map(run -> run.task().index()).toList();
  }

  private JobStatus status() {
    return fixture.ledger.job(JOB).orElseThrow().status();
  }

  @ParameterizedTest
  @EnumSource(RunOutcome.class)
  void taskIsStartedAgainHoweverItsRunEnds(RunOutcome outcome) {
    start(false);
    RunId ended = running.keySet().iterator().next();
    for (int attempt = 2; attempt < 6; attempt++) {
      end(ended, outcome);
      waitForRetry();
      List<RunId> started = startPlaced();
      assertThat(startedTasks(started)).containsExactly(ended.task().index());
      ended = started.get(0);
      assertThat(ended.attempt()).isEqualTo(attempt);
    }
    assertThat(status()).isEqualTo(JobStatus.RUNNING);
  }

  @ParameterizedTest
  @EnumSource(RunOutcome.class)
  void gangIsStartedAgainHoweverTheRunOfOneMemberEnds(RunOutcome outcome) {
    start(true);
    end(running.keySet().iterator().next(), outcome);
    waitForRetry();
    assertThat(fixture.take(ScopeAction.Stop.class).stream().map(ScopeAction.Stop::run).toList())
        .containsAtLeastElementsIn(running.keySet());
    endAll(RunOutcome.STOPPED);
    waitForRetry();
    assertThat(startedTasks(startPlaced())).containsExactly(0, 1, 2);
    assertThat(status()).isEqualTo(JobStatus.RUNNING);
  }

  @Test
  void jobWhoseTasksAllEndAsDoneIsNotCompleted() {
    start(false);
    endAll(RunOutcome.DONE);
    assertThat(status()).isEqualTo(JobStatus.RUNNING);
    waitForRetry();
    assertThat(startedTasks(startPlaced())).containsExactly(0, 1, 2);
  }

  @Test
  void cancelledJobIsNotStartedAgain() {
    start(false);
    fixture.apply(new ScopeCommand.Cancel(JOB, fixture.nowMillis));
    endAll(RunOutcome.DONE);
    waitForRetry();
    assertThat(startPlaced()).isEmpty();
    assertThat(status()).isEqualTo(JobStatus.CANCELLED);
  }

  /** Releases before 0.4 recorded such tasks as done. */
  @Test
  void taskOfAnEarlierReleaseIsStartedAgain() {
    start(false);
    endAll(RunOutcome.STOPPED);
    ScopeSnapshot now = fixture.ledger.snapshot();
    ScopeSnapshot.JobState job = now.jobs().get(0);
    ScopeSnapshot.TaskState done = new ScopeSnapshot.TaskState(true, 0, 1, "", 0, null);
    ScopeSnapshot.StepState step =
        new ScopeSnapshot.StepState(Collections.nCopies(TASKS, done), 0, 0);
    ScopeSnapshot.JobState former =
        new ScopeSnapshot.JobState(
            job.job(),
            job.status(),
            null,
            1,
            0,
            0,
            List.of(new ScopeSnapshot.OccurrenceState(0, List.of(step))));
    fixture.ledger.restore(
        new ScopeSnapshot(
            now.configuration(),
            now.content(),
            List.of(),
            List.of(),
            now.workers(),
            List.of(former),
            now.runTimes(),
            null,
            null));
    assertThat(fixture.ledger.step(new StepKey(JOB, 0, 0)).pendingTasks()).isEqualTo(TASKS);
  }
}
