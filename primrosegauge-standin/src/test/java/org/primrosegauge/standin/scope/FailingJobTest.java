package org.primrosegauge.standin.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.StepSpec;

/**
 * A job of which each run fails put sound workers under quarantine, again and again: other jobs
 * waited beside idle workers.
 */
class FailingJobTest {

  private static final Resources SMALL = new Resources(1_000, 1_000, 1);
  private static final int WORKERS = 3;

  /** Time for a confirmation, a placement, the log and a start. */
  private static final long START_MILLIS = 1_000;

  private static EmulatedScope worldWithFailingJob(StepSpec step, long workMillis) {
    EmulatedScope world = new EmulatedScope(5, WORKERS, true);
    world.run(2_000);
    world.poison("failing");
    world.submit("failing", 1, "first", List.of(step), workMillis);
    return world;
  }

  private static void assertOtherJobBeginsAtOnce(EmulatedScope world) {
    long submittedMillis = world.nowMillis();
    StepSpec other = StepSpec.builder(WORKERS).task(SMALL).maxPerWorker(1).build();
    world.submit("other", 1, "second", List.of(other), 1_000);
    world.run(START_MILLIS);
    long begun = world.begunMillis(new JobId("other")).orElse(Long.MAX_VALUE);
    assertThat(begun).isLessThan(submittedMillis + START_MILLIS);
  }

  @ParameterizedTest
  @ValueSource(longs = {2_500, 4_000, 7_000, 11_000})
  void longRunningJobThatAlwaysFailsLeavesWorkersToOthers(long afterMillis) {
    StepSpec lasting =
        StepSpec.builder(WORKERS).task(SMALL).longRunning(true).maxPerWorker(1).build();
    EmulatedScope world = worldWithFailingJob(lasting, 3_000);
    world.run(afterMillis);
    assertOtherJobBeginsAtOnce(world);
  }

  @Test
  void tasksOfOneJobThatFailTogetherLeaveTheirWorkerToOthers() {
    StepSpec step = StepSpec.builder(4 * WORKERS).task(SMALL).maxPerWorker(4).build();
    EmulatedScope world = worldWithFailingJob(step, 3_000);
    world.run(1_500);
    assertThat(world.runsEnded(RunOutcome.FAILED)).isAtLeast(4);
    assertOtherJobBeginsAtOnce(world);
  }

  /** Otherwise such runs would take the time of the leader and of the log. */
  @Test
  void longRunningTaskThatFailsAtOnceIsNotStartedWithoutPause() {
    StepSpec lasting = StepSpec.builder(1).task(SMALL).longRunning(true).build();
    EmulatedScope world = worldWithFailingJob(lasting, 30);
    world.run(10_000);
    assertThat(world.placements()).isAtMost(50);
  }

  @Test
  void workerOnWhichRunsOfSeveralJobsFailIsQuarantined() {
    EmulatedScope world = new EmulatedScope(5, WORKERS, true);
    world.run(2_000);
    world.failAll("w0", 30_000);
    for (int i = 0; i < 12; i++) {
      StepSpec step = StepSpec.builder(2).task(SMALL).build();
      world.submit("job" + i, 1, "first", List.of(step), 2_000);
      world.run(500);
    }
    assertThat(world.runsEnded(RunOutcome.FAILED)).isAtMost(6);
  }
}
