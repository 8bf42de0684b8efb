package org.primrosegauge.core.scope;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.primrosegauge.core.job.Resources;

class BoundedWaitTest {

  private static final int PER_RACK = 4;
  private static final long MAX_WAIT_MILLIS = 3_000;
  private static final Resources WHOLE = PlannerHarness.CAPACITY;
  private static final Resources ONE = new Resources(4_000, 4_000, 1);

  private static StepSpec.Builder step(int count, Resources task, long estimatedMillis) {
    return StepSpec.builder(count).task(task).estimatedMillis(estimatedMillis);
  }

  private static void runUntilStarted(PlannerHarness scope, String id) {
    for (int i = 0; i < MAX_WAIT_MILLIS / 10 && !scope.hasStarted(id); i++) {
      scope.runPass(10);
    }
  }

  private static PlannerHarness withBusyRack() {
    PlannerHarness scope = new PlannerHarness(16, PER_RACK);
    scope.submit("busy", 1, 0, step(PER_RACK, WHOLE, 60_000).dataRack("r0").build());
    scope.runPass(10);
    assertThat(scope.runningCount()).isEqualTo(PER_RACK);
    return scope;
  }

  /** A step waited as long as it runs for a busy rack while three of four racks were free. */
  @Test
  void stepStartsElsewhereWhenItsDataRackStaysBusy() {
    PlannerHarness scope = withBusyRack();
    scope.submit("near", 1, 1, step(2, ONE, 20_000).dataRack("r0").build());
    runUntilStarted(scope, "near");
    assertThat(scope.hasStarted("near")).isTrue();
  }

  /** A gang waited as long as it runs for one whole rack while half of each rack was free. */
  @Test
  void rackLocalGangStartsAcrossRacksWhenNoRackIsFree() {
    PlannerHarness scope = new PlannerHarness(16, PER_RACK);
    for (int rack = 0; rack < 4; rack++) {
      StepSpec half = step(2, WHOLE, 60_000).dataRack("r" + rack).build();
      scope.submit("busy" + rack, 1, 0, half);
    }
    scope.runPass(10);
    scope.submit("gang", 1, 1, step(4, WHOLE, 20_000).gang(true).rackLocal(true).build());
    runUntilStarted(scope, "gang");
    assertThat(scope.hasStarted("gang")).isTrue();
  }

  /** Small tasks waited for workers held for a gang while most of the service was idle. */
  @Test
  void smallTaskStartsOnIdleWorkersReservedForGangs() {
    PlannerHarness scope = new PlannerHarness(16, PER_RACK);
    for (int rack = 0; rack < 4; rack++) {
      StepSpec most = step(1, WHOLE, 60_000).dataRack("r" + rack).build();
      scope.submit("busy" + rack, 1, 0, most);
    }
    scope.runPass(10);
    for (int i = 0; i < 4; i++) {
      StepSpec gang = step(13, WHOLE, 60_000).gang(true).build();
      scope.submit("gang" + i, 1, 1, gang);
    }
    scope.submit("small", 2, 2, step(1, ONE, 90_000).build());
    runUntilStarted(scope, "small");
    assertThat(scope.hasStarted("small")).isTrue();
  }
}
