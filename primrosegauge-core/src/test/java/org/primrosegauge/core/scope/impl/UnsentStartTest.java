package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.WorkerInfo;

/**
 * Guards against RECLAIM: a start that had found no connection counted as one without a response.
 * After four of them its whole gang was stopped, and no large gang on one worker was ever whole.
 */
class UnsentStartTest {

  private static final long TICK_MILLIS = 50;
  private static final int TRIES = 20;

  private final CoreFixture fixture = new CoreFixture();
  private final WorkerInfo worker = CoreFixture.worker(1, 1);

  private RunId onlyStart() {
    List<ScopeAction.Start> starts = fixture.take(ScopeAction.Start.class);
    assertThat(starts).hasSize(1);
    return starts.get(0).run();
  }

  private void answer(RunId run, StartResult result) {
    fixture.core.handleStartResult(run, result, fixture.nowMillis, fixture.now());
  }

  @Test
  void startIsSentAgainUntilItIsSent() {
    RunId run = fixture.placeRun(worker);
    for (int i = 0; i < TRIES; i++) {
      answer(run, StartResult.NOT_SENT);
      fixture.advance(TICK_MILLIS);
      assertThat(onlyStart()).isEqualTo(run);
    }
    answer(run, StartResult.STARTED);
    assertThat(fixture.take(ScopeAction.Stop.class)).isEmpty();
    assertThat(fixture.takeProposals(ScopeCommand.RecordEnds.class)).isEmpty();
    assertThat(fixture.ledger.isOpen(run)).isTrue();
  }

  @Test
  void runThatWasNeverSentIsGivenUpWithoutDoubt() {
    RunId run = fixture.placeRun(worker);
    answer(run, StartResult.NOT_SENT);
    fixture.apply(new ScopeCommand.Cancel(new JobId("job"), fixture.nowMillis));
    fixture.advance(TICK_MILLIS);
    assertThat(onlyProposedEnd(run)).isEqualTo(RunOutcome.NEVER_STARTED);
  }

  /** An earlier try may still be carried out, whatever becomes of the later ones. */
  @Test
  void runWhoseFirstStartIsUnansweredStaysInDoubt() {
    RunId run = fixture.placeRun(worker);
    answer(run, StartResult.NO_ANSWER);
    assertThat(onlyStart()).isEqualTo(run);
    answer(run, StartResult.NOT_SENT);
    fixture.apply(new ScopeCommand.Cancel(new JobId("job"), fixture.nowMillis));
    fixture.advance(TICK_MILLIS);
    assertThat(fixture.takeProposals(ScopeCommand.RecordEnds.class)).isEmpty();
    assertThat(fixture.take(ScopeAction.Stop.class)).isNotEmpty();
  }

  @Test
  void unsentStartIsNoResponseOfTheWorker() {
    RunId run = fixture.placeRun(worker);
    final long lastResponse = fixture.nowMillis;
    fixture.advance(5_000);
    fixture.take(ScopeAction.Probe.class);
    answer(run, StartResult.NOT_SENT);
    fixture.submit("next", CoreFixture.step(1));
    fixture.plan();
    assertThat(fixture.nowMillis).isGreaterThan(lastResponse);
    assertThat(fixture.takeProposals(ScopeCommand.Place.class)).isEmpty();
  }

  private RunOutcome onlyProposedEnd(RunId run) {
    List<ScopeCommand.RecordEnds> ends = fixture.takeProposals(ScopeCommand.RecordEnds.class);
    assertThat(ends).hasSize(1);
    assertThat(ends.get(0).ends()).hasSize(1);
    assertThat(ends.get(0).ends().get(0).run()).isEqualTo(run);
    return ends.get(0).ends().get(0).outcome();
  }
}
