package org.primrosegauge.core.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.job.Resources;

class PlanningCostTest {

  private static final int PER_RACK = 12;

  private static StepSpec.Builder step(Random random, int count, int cores, int accelerators) {
    long milliCores = cores * 1_000L + random.nextInt(1_000);
    return StepSpec.builder(count)
        .task(new Resources(milliCores, 4_000, accelerators))
        .estimatedMillis(2_000 + random.nextInt(8_000));
  }

  /** Urgent, wide and small work for several times the fleet. */
  private static PlannerHarness overloadedScope(int workers) {
    Random random = new Random(16);
    PlannerHarness scope = new PlannerHarness(workers, PER_RACK);
    for (int i = 0; i < workers; i++) {
      scope.submit("filler" + i, 2, i % 10, step(random, 10, 5, 1).build());
    }
    for (int i = 0; i < 20; i++) {
      scope.runPass(10);
    }
    for (int i = 0; i < workers; i++) {
      submitMixed(scope, random, i, workers);
      if (i % 10 == 0) {
        scope.runPass(5);
      }
    }
    return scope;
  }

  private static void submitMixed(PlannerHarness scope, Random random, int i, int workers) {
    String rack = PlannerHarness.rackOf(random.nextInt(workers), PER_RACK);
    int accelerators = 1 + random.nextInt(8);
    StepSpec.Builder urgent = step(random, 5, 7, accelerators).checkpoints(i % 2 == 0);
    scope.submit("urgent" + i, 0, i % 10, (i % 3 == 0 ? urgent.dataRack(rack) : urgent).build());
    StepSpec.Builder gang = step(random, 3 + random.nextInt(10), 26, accelerators).gang(true);
    scope.submit("gang" + i, 1, i % 10, gang.rackLocal(i % 2 == 0).build());
    scope.submit("small" + i, 2, i % 10, step(random, 39, 5, 1).build());
  }

  private static void runUnderLoad(PlannerHarness scope) {
    scope.resetStatistics();
    for (int i = 0; i < 400; i++) {
      scope.endOldestRun();
      if (i % 40 == 0) {
        scope.endStoppedRuns();
      }
      scope.runPass(5);
    }
  }

  /**
   * Passes of a few hundred milliseconds kept heartbeats and calls waiting at 246 workers. At 180
   * ns for each thing looked at, the bounds are 5 ms and 20 ms.
   */
  @ParameterizedTest
  @CsvSource({"246, 27000", "2800, 110000"})
  void passCostIsBoundedUnderOverload(int workers, long most) {
    PlannerHarness scope = overloadedScope(workers);
    runUnderLoad(scope);
    assertThat(scope.runningCount()).isGreaterThan(workers);
    assertThat(scope.maxExamined()).isLessThan(most);
  }

  /** A pass that ended early must not leave the steps at the end of the queue waiting for ever. */
  @Test
  void passesThatEndEarlyStillReachTheLastStep() {
    PlannerHarness scope = overloadedScope(246);
    scope.submit("last", 2, 0, StepSpec.builder(1).task(new Resources(1, 1, 0)).build());
    for (int i = 0; i < 200; i++) {
      scope.runPass(10);
    }
    assertThat(scope.hasStarted("last")).isTrue();
  }
}
