package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.scope.DrainCommands;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;

/**
 * Guards against TWICE: a heartbeat of another writer, with the address or the id of a worker, was
 * taken for the worker's next incarnation, and the runs of the worker were placed again while it
 * went on with them.
 */
class ForeignHeartbeatTest {

  private static final WorkerInfo WORKER = CoreFixture.worker(1, 1);
  private static final TargetId OTHER_TARGET = new TargetId("x-77");
  private static final HostPort OTHER_ADDRESS = new HostPort("10.0.0.77", 80);
  private static final ServiceId OTHER_POOL = new ServiceId("unknown");
  private static final long LATER = 2;

  private final CoreFixture fixture = new CoreFixture();

  private static WorkerInfo announcement(
      TargetId target, long born, HostPort address, ServiceId pool) {
    return new WorkerInfo(
        new WorkerKey(target, born),
        address,
        pool,
        new FailureDomainId("d"),
        WORKER.capacity(),
        List.of(),
        "");
  }

  /** Announcements that claim the place of {@link #WORKER}. */
  static Stream<Arguments> claims() {
    TargetId target = WORKER.key().target();
    HostPort address = WORKER.address();
    return Stream.of(
            announcement(OTHER_TARGET, LATER, address, OTHER_POOL),
            announcement(OTHER_TARGET, LATER, address, CoreFixture.POOL),
            announcement(target, LATER, OTHER_ADDRESS, CoreFixture.POOL),
            announcement(target, LATER, address, OTHER_POOL),
            announcement(target, LATER, address, CoreFixture.POOL))
        .flatMap(info -> Stream.of(Arguments.of(info, false), Arguments.of(info, true)));
  }

  /** Handles a heartbeat as the replica that leads does, and commits all that follows from it. */
  private void receive(WorkerHeartbeat heartbeat) {
    fixture.core.handleHeartbeat(heartbeat, fixture.now());
    DrainCommands.forHeartbeat(fixture.ledger, heartbeat).forEach(fixture::apply);
    fixture.commitAll();
  }

  private void receive(WorkerInfo info, boolean isDraining) {
    receive(new WorkerHeartbeat(info, 1, isDraining, 0, fixture.nowMillis));
  }

  private void answerProbe(WorkerInfo info, PollResult.Kind kind) {
    PollResult result = new PollResult(kind, fixture.nowMillis, List.of(), List.of());
    fixture.core.handleProbeResult(info.key(), result, fixture.now());
    fixture.commitAll();
    // The drain of an incarnation is recorded once the incarnation is.
    fixture.commitAll();
  }

  private List<WorkerKey> probedWorkers() {
    return fixture.take(ScopeAction.Probe.class).stream().map(ScopeAction.Probe::worker).toList();
  }

  @ParameterizedTest
  @MethodSource("claims")
  void announcementAloneEndsNoRun(WorkerInfo claim, boolean isDraining) {
    RunId run = fixture.startRun(WORKER);
    receive(claim, isDraining);
    assertThat(fixture.ledger.isOpen(run)).isTrue();
    assertThat(fixture.ledger.worker(WORKER.key())).isPresent();
    assertThat(probedWorkers()).containsExactly(claim.key());
  }

  @ParameterizedTest
  @EnumSource(names = "REPORT", mode = EnumSource.Mode.EXCLUDE)
  void claimThatIsNotConfirmedHasNoEffect(PollResult.Kind answer) {
    RunId run = fixture.startRun(WORKER);
    WorkerInfo claim = announcement(OTHER_TARGET, LATER, WORKER.address(), OTHER_POOL);
    receive(claim, false);
    answerProbe(claim, answer);
    assertThat(fixture.ledger.isOpen(run)).isTrue();
    assertThat(fixture.ledger.worker(claim.key())).isEmpty();
  }

  @ParameterizedTest
  @MethodSource("claims")
  void incarnationThatRespondsReplacesTheFormerOne(WorkerInfo claim, boolean isDraining) {
    RunId run = fixture.startRun(WORKER);
    receive(claim, isDraining);
    answerProbe(claim, PollResult.Kind.REPORT);
    assertThat(fixture.ledger.isOpen(run)).isFalse();
    assertThat(fixture.ledger.worker(WORKER.key())).isEmpty();
    assertThat(fixture.ledger.worker(claim.key()).orElseThrow().isDraining()).isEqualTo(isDraining);
  }

  @Test
  void heartbeatOfWorkerIsHeededBesideAnUnconfirmedLaterOne() {
    fixture.startLeading(1);
    WorkerInfo claim = announcement(WORKER.key().target(), LATER, OTHER_ADDRESS, CoreFixture.POOL);
    receive(claim, false);
    assertThat(fixture.ledger.worker(claim.key())).isPresent();
    receive(WORKER, false);
    answerProbe(WORKER, PollResult.Kind.REPORT);
    assertThat(fixture.ledger.worker(WORKER.key())).isPresent();
    assertThat(fixture.ledger.worker(claim.key())).isEmpty();
  }

  @Test
  void lateHeartbeatOfFormerIncarnationIsNotProbed() {
    fixture.startLeading(1);
    WorkerInfo next = CoreFixture.worker(1, LATER);
    fixture.registerAndPoll(next);
    receive(WORKER, false);
    assertThat(probedWorkers()).isEmpty();
    assertThat(fixture.ledger.worker(next.key())).isPresent();
  }

  /** Announcements under the id and time of birth of {@link #WORKER} that are not its own. */
  static Stream<WorkerInfo> imitations() {
    TargetId target = WORKER.key().target();
    long born = WORKER.key().bornMillis();
    return Stream.of(
        announcement(target, born, OTHER_ADDRESS, CoreFixture.POOL),
        announcement(target, born, WORKER.address(), OTHER_POOL));
  }

  @ParameterizedTest
  @MethodSource("imitations")
  void heartbeatWithOtherAddressOrServiceDoesNotDrainTheWorker(WorkerInfo imitation) {
    fixture.startRun(WORKER);
    receive(new WorkerHeartbeat(imitation, 1_000, true, 0, fixture.nowMillis));
    fixture.submit("next", CoreFixture.step(1));
    fixture.plan();
    fixture.commitAll();
    assertThat(fixture.ledger.worker(WORKER.key()).orElseThrow().isDraining()).isFalse();
    assertThat(fixture.take(ScopeAction.Start.class)).hasSize(1);
  }
}
