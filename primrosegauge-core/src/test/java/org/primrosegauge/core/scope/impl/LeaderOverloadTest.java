package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.WorkerInfo;

/**
 * Guards against LOST: one schedule with thousands of small tasks that were due at once kept each
 * leader so busy that it lost its leadership, and no call was answered any more.
 */
class LeaderOverloadTest {

  private static final int TASKS = 5_000;
  private static final int OCCURRENCES = 8_640;
  private static final int TASKS_OF_OCCURRENCE = 2;
  private static final long TICK_MILLIS = 50;
  private static final JobId JOB = new JobId("job");
  private static final Resources SMALL = new Resources(1, 1, 0);

  private final CoreFixture fixture = new CoreFixture();
  private final WorkerInfo worker = CoreFixture.worker(1, 1);

  private static StepSpec step(int tasks) {
    return StepSpec.builder(tasks).task(SMALL).estimatedMillis(5_000).build();
  }

  private void lead() {
    fixture.startLeading(1);
    fixture.registerAndPoll(worker);
  }

  private void planAndCommit() {
    fixture.plan();
    fixture.commitAll();
  }

  private List<ScopeAction.Start> placeAll() {
    lead();
    fixture.submit("job", step(TASKS));
    for (int i = 0; i < 100 && fixture.ledger.job(JOB).orElseThrow().openRuns() < TASKS; i++) {
      planAndCommit();
    }
    assertThat(fixture.ledger.job(JOB).orElseThrow().openRuns()).isEqualTo(TASKS);
    return fixture.take(ScopeAction.Start.class);
  }

  private void answer(ScopeAction.Start start, StartResult result) {
    fixture.core.handleStartResult(start.run(), result, fixture.nowMillis, fixture.now());
  }

  /** The queue of the worker is full, so that each start comes back unsent. */
  @Test
  void startsWithoutRoomAreHandedInAgainWithEachTick() {
    List<ScopeAction.Start> starts = placeAll();
    for (int tick = 0; tick < 10; tick++) {
      assertThat(starts.size()).isAtMost(RunLifecycle.MAX_OPEN_STARTS);
      starts.forEach(start -> answer(start, StartResult.NOT_SENT));
      fixture.advance(TICK_MILLIS);
      starts = fixture.take(ScopeAction.Start.class);
      assertThat(starts).isNotEmpty();
    }
  }

  @Test
  void startsThatWaitedAreNeverSent() {
    List<ScopeAction.Start> starts = placeAll();
    int started = 0;
    while (!starts.isEmpty()) {
      started += starts.size();
      starts.forEach(start -> answer(start, StartResult.STARTED));
      starts = fixture.take(ScopeAction.Start.class);
    }
    assertThat(started).isEqualTo(TASKS);
  }

  /** The next leader learns from one report that none of the runs has started. */
  @Test
  void endOfEachRunThatNeverStartedIsAnEntryOfItsOwn() {
    placeAll();
    fixture.core.stopLeading();
    fixture.startLeading(2);
    fixture.core.pollWorkers(fixture.now());
    fixture.answerPoll(worker);
    List<ScopeCommand.RecordEnds> entries = fixture.takeProposals(ScopeCommand.RecordEnds.class);
    assertThat(entries.stream().mapToInt(entry -> entry.ends().size()).sum()).isEqualTo(TASKS);
    assertThat(entries.size()).isAtMost(TASKS / 1_000);
    entries.forEach(fixture::apply);
    assertThat(fixture.ledger.job(JOB).orElseThrow().openRuns()).isEqualTo(0);
  }

  /** Nothing is started meanwhile, as the starts wait for their worker. */
  @ParameterizedTest
  @ValueSource(ints = {10, 200})
  void occurrencesBeginAlthoughThoseBeforeThemAreNotStarted(int passes) {
    submitSchedule();
    for (int pass = 0; pass < passes; pass++) {
      planAndCommit();
    }
    assertThat(fixture.ledger.job(JOB).orElseThrow().begunOccurrences()).isAtMost(2 * 64);
  }

  @Test
  void occurrencesDoNotBeginWhenThoseBeforeThemHaveStarted() {
    submitSchedule();
    int started = 0;
    for (int pass = 0; pass < 500 && started < TASKS; pass++) {
      planAndCommit();
      List<ScopeAction.Start> starts = fixture.take(ScopeAction.Start.class);
      starts.forEach(start -> answer(start, StartResult.STARTED));
      started += starts.size();
    }
    assertThat(started).isAtLeast(TASKS);
  }

  private void submitSchedule() {
    lead();
    fixture.apply(
        new ScopeCommand.Submit(
            new ScopeJob(
                JOB,
                new QueueName("q"),
                CoreFixture.POOL,
                null,
                3,
                fixture.nowMillis,
                "payload",
                List.of(step(TASKS_OF_OCCURRENCE)),
                new Recurrence(1, 1, OCCURRENCES))));
  }
}
