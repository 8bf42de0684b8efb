package org.primrosegauge.standin.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.StepSpec;

/**
 * Workers were taken away 1.7 s after they had said that they drain, without another word. What ran
 * there, and gangs with one member there, waited ten seconds for the end of the lease before they
 * were placed again.
 */
class LeavingWorkerTest {

  private static final Resources WHOLE_WORKER = new Resources(4_000, 10_000, 8);
  private static final long NOTICE_MILLIS = 1_700;
  private static final long RUN_MILLIS = 5_000;

  /** Time for the new placement, the start and the delay of the log. */
  private static final long RESTART_MILLIS = 1_000;

  private static EmulatedScope worldWithJob(int tasks, boolean isGang, long declaredMillis) {
    EmulatedScope world = new EmulatedScope(5, 6, true);
    world.run(2_000);
    StepSpec step =
        StepSpec.builder(tasks)
            .task(WHOLE_WORKER)
            .estimatedMillis(declaredMillis)
            .gang(isGang)
            .build();
    world.submit("job", 0, "first", List.of(step), RUN_MILLIS);
    return world;
  }

  private static void takeOneAway(EmulatedScope world) {
    String leaving =
        world.workers.values().stream()
            .filter(worker -> !worker.runs.isEmpty())
            .findFirst()
            .orElseThrow()
            .info
            .key()
            .target()
            .value();
    world.takeAway(leaving, NOTICE_MILLIS);
  }

  /** Cases: tasks, whether they are a gang, declared run time. */
  @ParameterizedTest
  @CsvSource({"1,false,5000", "1,false,500", "3,true,5000", "3,true,500", "2,false,20000"})
  void runsOfWorkerThatIsTakenAwayStartElsewhereWithoutDelay(
      int tasks, boolean isGang, long declaredMillis) {
    EmulatedScope world = worldWithJob(tasks, isGang, declaredMillis);
    world.run(1_500);
    takeOneAway(world);
    long exitMillis = world.nowMillis() + NOTICE_MILLIS;
    world.run(20_000);
    assertThat(world.finishedMillis(new JobId("job")).orElseThrow())
        .isLessThan(exitMillis + RUN_MILLIS + RESTART_MILLIS);
    assertThat(world.checker.violations).isEmpty();
  }

  /** A worker that is taken away goes dark, so nothing but its lease would show their end. */
  @Test
  void lastingTasksOfWorkerThatIsTakenAwayStartElsewhereWithoutDelay() {
    EmulatedScope world = new EmulatedScope(5, 6, true);
    world.run(2_000);
    StepSpec lasting =
        StepSpec.builder(3).task(WHOLE_WORKER).longRunning(true).maxPerWorker(1).build();
    world.submit("job", 0, "first", List.of(lasting), 1_000_000);
    world.run(1_500);
    takeOneAway(world);
    world.run(NOTICE_MILLIS + RESTART_MILLIS);
    assertThat(world.workers.values().stream().mapToInt(worker -> worker.runs.size()).sum())
        .isEqualTo(3);
    assertThat(world.checker.violations).isEmpty();
  }

  @Test
  void runThatEndsBeforeTheExitIsNotStopped() {
    EmulatedScope world = worldWithJob(3, true, 500);
    world.run(RUN_MILLIS - NOTICE_MILLIS + 200);
    takeOneAway(world);
    world.run(RUN_MILLIS);
    assertThat(world.runsEnded(RunOutcome.STOPPED)).isEqualTo(0);
    assertThat(world.finishedMillis(new JobId("job"))).isPresent();
  }
}
