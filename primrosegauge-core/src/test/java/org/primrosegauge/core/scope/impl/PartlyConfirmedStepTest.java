package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.WorkerInfo;

/**
 * Guards against LOST: tasks of a step waited for ever beside idle workers that had confirmed that
 * they respond, once other tasks of the step had been placed.
 */
class PartlyConfirmedStepTest {

  private static final int WORKERS = 3;
  private static final int TASKS_OF_WORKER = 8;
  private static final JobId JOB = new JobId("job");

  private final CoreFixture fixture = new CoreFixture();

  @BeforeEach
  void leadIdleWorkersThatWereNotHeardOfLately() {
    fixture.startLeading(1);
    for (int i = 1; i <= WORKERS; i++) {
      fixture.registerAndPoll(CoreFixture.worker(i, 1));
    }
    fixture.nowMillis += 2_000;
    fixture.submit("job", CoreFixture.step(WORKERS * TASKS_OF_WORKER));
    fixture.plan();
    assertThat(fixture.takeProposals(ScopeCommand.Place.class)).isEmpty();
  }

  private void confirm(int number) {
    WorkerInfo worker = CoreFixture.worker(number, 1);
    PollResult report =
        new PollResult(PollResult.Kind.REPORT, fixture.nowMillis, List.of(), List.of());
    fixture.core.handleProbeResult(worker.key(), report, fixture.now());
  }

  private int openRuns() {
    return fixture.ledger.job(JOB).orElseThrow().openRuns();
  }

  /** All that has happened is known to the last pass, so no event follows that causes another. */
  @Test
  void tasksWaitForEverAfterOthersOfTheirStepWerePlaced() {
    confirm(1);
    fixture.plan();
    fixture.commitAll();
    assertThat(openRuns()).isEqualTo(TASKS_OF_WORKER);
    confirm(2);
    confirm(3);
    fixture.plan();
    fixture.commitAll();
    assertThat(openRuns()).isEqualTo(WORKERS * TASKS_OF_WORKER);
  }

  /** Worker by worker, with the commit of the placement before or after the next response. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void tasksWaitForEverAfterTheLastResponse(boolean isCommittedFirst) {
    for (int i = 1; i <= WORKERS; i++) {
      if (isCommittedFirst) {
        fixture.commitAll();
        confirm(i);
      } else {
        confirm(i);
        fixture.commitAll();
      }
      fixture.plan();
    }
    fixture.commitAll();
    assertThat(openRuns()).isEqualTo(WORKERS * TASKS_OF_WORKER);
  }
}
