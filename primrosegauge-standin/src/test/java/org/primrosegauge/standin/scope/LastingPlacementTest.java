package org.primrosegauge.standin.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.StepSpec;

/** Tasks of a long-running step waited although workers were idle. */
class LastingPlacementTest {

  private static final Resources WHOLE_WORKER = new Resources(4_000, 10_000, 8);
  private static final int WORKERS = 6;
  private static final long ENDLESS_MILLIS = 1_000_000;

  private static long running(EmulatedScope world) {
    return world.workers.values().stream().mapToInt(worker -> worker.runs.size()).sum();
  }

  private static StepSpec.Builder lasting() {
    return StepSpec.builder(WORKERS).task(WHOLE_WORKER).longRunning(true);
  }

  /** Half of the tasks waited for the rack of their data, as long as their estimated run time. */
  @Test
  void longRunningTasksDoNotWaitForTheRackOfTheirData() {
    EmulatedScope world = new EmulatedScope(5, WORKERS, true);
    world.run(2_000);
    StepSpec step = lasting().dataRack("r1").estimatedMillis(60_000).build();
    world.submit("job", 1, "first", List.of(step), ENDLESS_MILLIS);
    world.run(2_000);
    assertThat(running(world)).isEqualTo(WORKERS);
  }

  /**
   * A domain came back in the millisecond of another change: its workers were not seen until
   * something else happened.
   */
  @Test
  void tasksThatWaitAreStartedOnWorkersOfDomainThatComesBack() {
    EmulatedScope world = new EmulatedScope(5, WORKERS, true);
    world.run(2_000);
    world.switchDomain("d2", true);
    world.run(100);
    world.submit("job", 1, "first", List.of(lasting().build()), ENDLESS_MILLIS);
    world.run(10_000);
    assertThat(running(world)).isEqualTo(WORKERS * 2 / 3);
    world.switchDomain("d1", false);
    world.switchDomain("d2", false);
    world.run(2_000);
    assertThat(running(world)).isEqualTo(WORKERS);
  }
}
