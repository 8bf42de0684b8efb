package org.primrosegauge.standin.scope;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntConsumer;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.StopResult;
import org.primrosegauge.core.scope.WorkerKey;

/**
 * What lies between the leader and the workers of an {@link EmulatedScope}: orders and answers that
 * take time, get lost or come late, and workers that are cut off.
 *
 * <p>Not thread-safe; owned by one {@link EmulatedScope}.
 */
final class EmulatedNetwork {

  /** Epoch of answers that nobody waits for any more. */
  private static final int NOBODY = -1;

  private static final long ANSWER_TIMEOUT_MILLIS = 500;

  /** Time after the longest wait of a look at which its answer is given up. */
  private static final long LOOK_MARGIN_MILLIS = 700;

  /** A look that its worker holds until something ends there. */
  private record Waiting(EmulatedWorker worker, long until, int knownEnds, int epoch) {}

  private final EmulatedScope world;
  private final Random random;
  private final Map<Waiting, ScopeAction.Poll> waiting = new LinkedHashMap<>();
  private final Set<String> cut = new HashSet<>();
  private final Set<String> refusing = new HashSet<>();
  private final Set<String> silenced = new HashSet<>();

  /** Share of the answers that get lost. */
  double lostAnswers;

  /** Share of the orders that come seconds later, when nobody waits for their answer. */
  double lateOrders;

  /** Longest time that an order or an answer takes on its way, in milliseconds. */
  int slowestMillis = 4;

  /** Whether starts get lost on their way. */
  boolean losesStarts;

  /** Whether the order that a worker carries out now has come seconds late. */
  boolean isDeliveringLate;

  EmulatedNetwork(EmulatedScope world, Random random) {
    this.world = world;
    this.random = random;
  }

  // Troubles

  /** Cuts a worker off for a while; it runs on. */
  void cut(String name, long forMillis) {
    if (cut.add(name)) {
      world.at(world.now + forMillis, () -> cut.remove(name));
    }
  }

  /** Loses all answers of a worker for a while; orders reach it, heartbeats do not come. */
  void silence(String name, long forMillis) {
    silenced.add(name);
    world.at(world.now + forMillis, () -> silenced.remove(name));
  }

  /** Cuts a worker off for a while by a network that refuses connections to it. */
  void refuse(String name, long forMillis) {
    cut(name, forMillis);
    refusing.add(name);
    world.at(world.now + forMillis, () -> refusing.remove(name));
  }

  /** Tells whether what a worker sends arrives. */
  boolean isHeard(WorkerKey worker) {
    String name = worker.target().value();
    return !cut.contains(name) && !silenced.contains(name);
  }

  /** Forgets the looks of former leaders that workers still hold. */
  void leaderChanged(int epoch) {
    waiting.keySet().removeIf(each -> each.epoch() != epoch);
  }

  // Orders

  void deliver(ScopeAction.Start order, int sentIn) {
    if (losesStarts) {
      world.at(world.now + ANSWER_TIMEOUT_MILLIS, () -> startLost(order, sentIn));
      return;
    }
    send(
        sentIn,
        in -> answerStart(order, in),
        () -> startLost(order, sentIn),
        ANSWER_TIMEOUT_MILLIS);
  }

  void deliver(ScopeAction.Stop order, int sentIn) {
    send(sentIn, in -> answerStop(order, in), () -> stopLost(order, sentIn), ANSWER_TIMEOUT_MILLIS);
  }

  void deliver(ScopeAction.Poll order, int sentIn) {
    send(
        sentIn,
        in -> receiveLook(order, in),
        () -> lookLost(order, sentIn),
        order.waitMillis() + LOOK_MARGIN_MILLIS);
  }

  void deliver(ScopeAction.Probe order, int sentIn) {
    send(sentIn, in -> answerProbe(order, in), () -> probeLost(order, sentIn), LOOK_MARGIN_MILLIS);
  }

  /** Delivers an order soon; a late one gets no answer and is carried out seconds later. */
  private void send(int sentIn, IntConsumer delivery, Runnable lost, long timeoutMillis) {
    if (random.nextDouble() < lateOrders) {
      world.at(world.now + 2_000 + random.nextInt(10_000), () -> deliverLate(delivery));
      world.at(world.now + timeoutMillis, lost);
      return;
    }
    world.at(world.now + 1 + random.nextInt(slowestMillis), () -> delivery.accept(sentIn));
  }

  private void deliverLate(IntConsumer delivery) {
    isDeliveringLate = true;
    delivery.accept(NOBODY);
    isDeliveringLate = false;
  }

  /** Returns the worker at an address, whichever incarnation an order is meant for. */
  private EmulatedWorker reach(HostPort address) {
    EmulatedWorker worker = world.workerAt(address);
    return worker == null || cut.contains(nameOf(worker)) ? null : worker;
  }

  private static String nameOf(EmulatedWorker worker) {
    return worker.info.key().target().value();
  }

  private boolean isAnswerHeard(HostPort address) {
    boolean isLost = random.nextDouble() < lostAnswers;
    EmulatedWorker worker = world.workerAt(address);
    return !isLost && (worker == null || !silenced.contains(nameOf(worker)));
  }

  private void answer(EventKind kind, int sentIn, boolean isAnswered, EmulatedLeader.Event event) {
    long lostAt = world.now + ANSWER_TIMEOUT_MILLIS;
    world.at(
        isAnswered ? answerTime() : lostAt, () -> world.leader.tellIfLeading(kind, sentIn, event));
  }

  private long answerTime() {
    return world.now + 1 + random.nextInt(slowestMillis);
  }

  private void startLost(ScopeAction.Start order, int sentIn) {
    world.leader.tellIfLeading(
        EventKind.ORDER,
        sentIn,
        (leader, present) -> leader.handleStartResult(order, StartResult.NO_ANSWER, 0, present));
  }

  private void stopLost(ScopeAction.Stop order, int sentIn) {
    world.leader.tellIfLeading(
        EventKind.ORDER,
        sentIn,
        (leader, present) -> leader.handleStopResult(order, StopResult.NO_ANSWER, present));
  }

  private void lookLost(ScopeAction.Poll order, int sentIn) {
    PollResult none = PollResult.withoutReport(PollResult.Kind.NO_ANSWER);
    world.leader.tellIfLeading(
        EventKind.LOOK, sentIn, (leader, present) -> leader.handlePollResult(order, none, present));
  }

  private void answerStart(ScopeAction.Start order, int sentIn) {
    EmulatedWorker worker = reach(order.address());
    StartResult answer = worker == null ? StartResult.NO_ANSWER : worker.start(order, world.now);
    long clock = worker == null ? 0 : worker.clock(world.now);
    boolean isAnswered = worker != null && isAnswerHeard(order.address());
    answer(
        EventKind.ORDER,
        sentIn,
        isAnswered,
        (leader, present) ->
            leader.handleStartResult(
                order,
                isAnswered ? answer : StartResult.NO_ANSWER,
                isAnswered ? clock : 0,
                present));
  }

  private void answerStop(ScopeAction.Stop order, int sentIn) {
    EmulatedWorker worker = reach(order.address());
    StopResult answer = worker == null ? StopResult.NO_ANSWER : worker.stop(order, world.now);
    boolean isAnswered = worker != null && isAnswerHeard(order.address());
    answer(
        EventKind.ORDER,
        sentIn,
        isAnswered,
        (leader, present) ->
            leader.handleStopResult(order, isAnswered ? answer : StopResult.NO_ANSWER, present));
  }

  private void receiveLook(ScopeAction.Poll order, int sentIn) {
    EmulatedWorker worker = reach(order.address());
    long until = world.now + order.waitMillis();
    if (worker == null) {
      boolean isRefused = refusing.contains(order.worker().target().value());
      PollResult.Kind kind = isRefused ? PollResult.Kind.REFUSED : PollResult.Kind.NO_ANSWER;
      answerLook(order, sentIn, until, PollResult.withoutReport(kind));
    } else if (!worker.info.key().equals(order.worker())) {
      answerLook(order, sentIn, until, PollResult.withoutReport(PollResult.Kind.OTHER_LIFETIME));
    } else if (!worker.admit(order, world.now)) {
      answerLook(order, sentIn, until, PollResult.withoutReport(PollResult.Kind.FENCED));
    } else {
      waiting.put(new Waiting(worker, until, worker.ended.size(), sentIn), order);
    }
  }

  private void answerProbe(ScopeAction.Probe order, int sentIn) {
    EmulatedWorker worker = reach(order.address());
    PollResult response = worker == null ? null : responseTo(order, worker);
    boolean isAnswered = response != null && isAnswerHeard(order.address());
    PollResult answer = isAnswered ? response : PollResult.withoutReport(PollResult.Kind.NO_ANSWER);
    answer(
        EventKind.LOOK,
        sentIn,
        isAnswered,
        (leader, present) -> leader.handleProbeResult(order, answer, present));
  }

  /** Returns a worker's response to a probe; null if it does not respond. */
  private PollResult responseTo(ScopeAction.Probe order, EmulatedWorker worker) {
    if (!worker.info.key().equals(order.worker())) {
      return PollResult.withoutReport(PollResult.Kind.OTHER_LIFETIME);
    }
    return worker.admit(order.toPoll(), world.now) ? worker.report(world.now) : null;
  }

  private void probeLost(ScopeAction.Probe order, int sentIn) {
    PollResult none = PollResult.withoutReport(PollResult.Kind.NO_ANSWER);
    world.leader.tellIfLeading(
        EventKind.LOOK,
        sentIn,
        (leader, present) -> leader.handleProbeResult(order, none, present));
  }

  private void answerLook(ScopeAction.Poll order, int sentIn, long until, PollResult answer) {
    boolean isAnswered =
        answer.kind() != PollResult.Kind.NO_ANSWER && isAnswerHeard(order.address());
    if (!isAnswered) {
      world.at(until + LOOK_MARGIN_MILLIS, () -> lookLost(order, sentIn));
      return;
    }
    answer(
        EventKind.LOOK,
        sentIn,
        true,
        (leader, present) -> leader.handlePollResult(order, answer, present));
  }

  /** Answers the looks whose time is over, or at whose worker something has ended. */
  void answerWaiting() {
    for (Map.Entry<Waiting, ScopeAction.Poll> each : List.copyOf(waiting.entrySet())) {
      EmulatedWorker worker = each.getKey().worker();
      boolean isDue = world.now >= each.getKey().until() || !worker.ended.isEmpty();
      boolean isThere = world.workers.get(worker.info.key().target().value()) == worker;
      if (!isThere || isDue) {
        waiting.remove(each.getKey());
        boolean isCut = cut.contains(worker.info.key().target().value());
        PollResult answer =
            isThere && !isCut
                ? worker.report(world.now)
                : PollResult.withoutReport(PollResult.Kind.NO_ANSWER);
        answerLook(each.getValue(), each.getKey().epoch(), each.getKey().until(), answer);
      }
    }
  }
}
