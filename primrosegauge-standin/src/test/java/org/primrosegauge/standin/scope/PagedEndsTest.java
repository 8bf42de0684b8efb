package org.primrosegauge.standin.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.StepSpec;

/**
 * Guards against TWICE of review/5: a worker that was cut off reported 500 of its ends in the first
 * response; the runs whose ends followed in the next one were taken for lost, and their tasks ran
 * again.
 */
class PagedEndsTest {

  private static final Resources SMALL = new Resources(10, 10, 0);
  private static final long RUN_MILLIS = 6_000;
  private static final long CUT_MILLIS = 6_000;

  @ParameterizedTest
  @ValueSource(ints = {499, 500, 501, 800, 1_600})
  void tasksWhoseEndsAreReportedLaterDoNotRunAgain(int tasks) {
    EmulatedScope world = new EmulatedScope(1, 1, true);
    world.run(2_000);
    StepSpec step = StepSpec.builder(tasks).task(SMALL).estimatedMillis(RUN_MILLIS).build();
    world.submit("job", 1, "first", List.of(step), RUN_MILLIS);
    world.run(3_000);
    assertThat(world.workers.get("w0").runs).hasSize(tasks);
    world.network.cut("w0", CUT_MILLIS);
    world.run(CUT_MILLIS + 2_000);
    assertThat(world.checker.violations).isEmpty();
    assertThat(world.finishedMillis(new JobId("job"))).isPresent();
    // Ends are numbered, so a second run of any task would show here.
    assertThat(world.workers.get("w0").ends).isEqualTo(tasks);
  }
}
