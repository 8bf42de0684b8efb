package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;

/** A heartbeat of another writer, with the largest numbers, leaves the other workers usable. */
class OddHeartbeatTest {

  private static final long MAX = Long.MAX_VALUE;

  @ParameterizedTest
  @CsvSource({
    "1, 1, 1, 1",
    MAX + ", 1, 1, 1",
    "1, " + MAX + ", 1, 1",
    "1, 1, " + MAX + ", 1",
    "1, 1, 1, " + MAX,
    MAX + "," + MAX + "," + MAX + "," + MAX
  })
  void tasksStartOnTheOtherWorkers(
      long bornMillis, long sequence, long drainRemainingMillis, long clockMillis) {
    CoreFixture fixture = new CoreFixture();
    WorkerInfo odd = CoreFixture.worker(1, bornMillis);
    final WorkerInfo sound = CoreFixture.worker(2, 1);
    fixture.startLeading(1);
    fixture.apply(new ScopeCommand.SeeWorker(odd));
    fixture.core.handleHeartbeat(
        new WorkerHeartbeat(odd, sequence, true, drainRemainingMillis, clockMillis), fixture.now());
    fixture.registerAndPoll(sound);
    fixture.answerPoll(odd, PollResult.withoutReport(PollResult.Kind.REFUSED));
    fixture.advance(1_000);
    fixture.submit("job", CoreFixture.step(2));
    fixture.plan();
    fixture.commitAll();
    assertThat(fixture.take(ScopeAction.Start.class).stream().map(ScopeAction.Start::worker))
        .containsExactly(sound.key(), sound.key());
  }
}
