package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.WorkerInfo;

/**
 * Guards against TWICE: the departure of a former incarnation, which names only the target, arrived
 * late and was taken for that of the next one. A connection that was refused by a network fault
 * then counted as its end, and its tasks were placed again while they ran.
 */
class LateDepartureTest {

  private static final PollResult REFUSED = PollResult.withoutReport(PollResult.Kind.REFUSED);

  private final CoreFixture fixture = new CoreFixture();
  private final WorkerInfo worker = CoreFixture.worker(1, 2);

  @Test
  void departureThatWasNotPrecededByDrainingProvesNothing() {
    final RunId run = fixture.startRun(worker);
    // A departure that is not acknowledged in time is sent again.
    fixture.core.workerLeft(worker.key().target(), fixture.now());
    fixture.core.workerLeft(worker.key().target(), fixture.now());
    fixture.advance(50);
    fixture.answerPoll(worker, REFUSED);
    assertThat(fixture.takeProposals(ScopeCommand.ForgetWorker.class)).isEmpty();
    assertThat(fixture.ledger.isOpen(run)).isTrue();
  }

  @Test
  void workerIsUsedAgainAfterItsNextHeartbeat() {
    fixture.startRun(worker);
    fixture.core.workerLeft(worker.key().target(), fixture.now());
    fixture.heartbeat(worker, false);
    fixture.submit("next", CoreFixture.step(1));
    fixture.plan();
    fixture.commitAll();
    assertThat(fixture.take(ScopeAction.Start.class)).hasSize(1);
  }

  @Test
  void idleWorkerThatDidNotDrainIsNotRemoved() {
    fixture.startLeading(1);
    fixture.registerAndPoll(worker);
    fixture.core.workerLeft(worker.key().target(), fixture.now());
    assertThat(fixture.takeProposals(ScopeCommand.ForgetWorker.class)).isEmpty();
  }

  @Test
  void refusedConnectionAfterDrainingAndDepartureIsTheEnd() {
    fixture.startRun(worker);
    fixture.heartbeat(worker, true);
    fixture.core.workerLeft(worker.key().target(), fixture.now());
    fixture.advance(50);
    fixture.answerPoll(worker, REFUSED);
    assertThat(fixture.takeProposals(ScopeCommand.ForgetWorker.class)).hasSize(1);
  }
}
