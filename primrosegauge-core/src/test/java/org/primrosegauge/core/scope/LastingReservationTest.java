package org.primrosegauge.core.scope;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.job.Resources;

/**
 * Guards against LOST: a gang that waited for room held only by long-running tasks reserved all
 * workers from now on, as if these tasks ended at once, and nothing ranked behind it was started;
 * so did one that waited for runs that were long overdue.
 */
class LastingReservationTest {

  private static final int WORKERS = 6;
  private static final long PASS_MILLIS = 100;

  private static StepSpec.Builder step(int count, long milliCores) {
    return StepSpec.builder(count).task(new Resources(milliCores, 1_000, 0)).estimatedMillis(5_000);
  }

  /**
   * Runs that are not long-running, and go on for far longer than expected. The gang may hold the
   * workers up to twice that time, and no longer.
   */
  @ParameterizedTest
  @CsvSource({"1000, 1000, false", "1000, 1700, false", "1000, 2100, true", "1000, 3500, true"})
  void tasksBehindGangWaitForRunsThatAreLongOverdue(
      long expectedMillis, long elapsedMillis, boolean isStarted) {
    PlannerHarness scope = new PlannerHarness(WORKERS, WORKERS);
    scope.submit(
        "overdue",
        1,
        0,
        step(WORKERS, 40_000).estimatedMillis(expectedMillis).maxPerWorker(1).build());
    scope.runPass(0);
    scope.submit("gang", 1, 0, step(WORKERS, 50_000).gang(true).build());
    scope.runPass(elapsedMillis);
    scope.submit("behind", 2, 0, step(WORKERS, 20_000).build());
    scope.runPass(PASS_MILLIS);
    scope.runPass(PASS_MILLIS);
    assertThat(scope.hasStarted("behind")).isEqualTo(isStarted);
    assertThat(scope.hasStarted("gang")).isFalse();
  }

  /** Cases: estimated time of the long-running tasks, which says nothing about their end. */
  @ParameterizedTest
  @ValueSource(longs = {0, 1_000, 60_000})
  void tasksBehindGangThatCannotStartUseTheFreeCapacity(long declaredMillis) {
    PlannerHarness scope = new PlannerHarness(WORKERS, WORKERS);
    scope.submit(
        "lasting",
        1,
        0,
        step(WORKERS, 40_000)
            .estimatedMillis(declaredMillis)
            .longRunning(true)
            .maxPerWorker(1)
            .build());
    scope.runPass(PASS_MILLIS);
    scope.runPass(2_000);
    scope.submit("gang", 1, 0, step(WORKERS, 50_000).gang(true).build());
    scope.runPass(PASS_MILLIS);
    scope.submit("behind", 2, 0, step(WORKERS, 20_000).build());
    scope.runPass(PASS_MILLIS);
    scope.runPass(PASS_MILLIS);
    assertThat(scope.hasStarted("behind")).isTrue();
    assertThat(scope.hasStarted("gang")).isFalse();
  }
}
