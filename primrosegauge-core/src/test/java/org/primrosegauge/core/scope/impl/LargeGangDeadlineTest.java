package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/**
 * Guards against RECLAIM: all starts of a large gang on one worker had to arrive within the time
 * that a single one has. The worker rejected the last ones as late, and the whole gang was stopped.
 */
class LargeGangDeadlineTest {

  private static final Resources SMALL = new Resources(10, 10, 0);

  /** Time within which a gang has to begin on the users' deployments, in milliseconds. */
  private static final long BOUND_MILLIS = 2_900;

  /** Cases: tasks of the gang, time that the worker takes for one start after the other. */
  @ParameterizedTest
  @CsvSource({"1, 1000", "12, 100", "250, 11", "256, 11", "600, 4"})
  void workerThatIsFastEnoughRejectsNoStartAsLate(int tasks, long startMillis) {
    CoreFixture fixture = new CoreFixture();
    final WorkerInfo worker = CoreFixture.worker(1, 1);
    fixture.startLeading(1);
    fixture.registerAndPoll(worker);
    fixture.submit("job", StepSpec.builder(tasks).task(SMALL).gang(true).build());
    fixture.plan();
    fixture.commitAll();
    List<ScopeAction.Start> starts = fixture.take(ScopeAction.Start.class);
    assertThat(starts).hasSize(tasks);
    long arrivalMillis = fixture.nowMillis;
    for (ScopeAction.Start start : starts) {
      arrivalMillis += startMillis;
      assertThat(arrivalMillis).isLessThan(start.deadlineMillis());
    }
    assertThat(arrivalMillis - fixture.nowMillis).isLessThan(BOUND_MILLIS);
  }

  /** A start never has more time than the lease that each poll grants. */
  @ParameterizedTest
  @CsvSource({"1", "250", "800"})
  void startHasNoMoreTimeThanTheLease(int tasks) {
    CoreFixture fixture = new CoreFixture();
    fixture.startLeading(1);
    fixture.registerAndPoll(CoreFixture.worker(1, 1));
    fixture.submit("job", StepSpec.builder(tasks).task(SMALL).build());
    fixture.plan();
    fixture.commitAll();
    long latestMillis = fixture.nowMillis + ScopeSettings.DEFAULT.leaseMillis();
    for (ScopeAction.Start start : fixture.take(ScopeAction.Start.class)) {
      assertThat(start.deadlineMillis()).isAtMost(latestMillis);
    }
  }
}
