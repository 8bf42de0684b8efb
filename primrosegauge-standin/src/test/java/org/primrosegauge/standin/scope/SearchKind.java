package org.primrosegauge.standin.scope;

import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.primrosegauge.core.job.Resources;

/** What may happen in a searched sequence. Whatever a kind leaves open is drawn. */
enum SearchKind {
  // Callers

  SUBMIT(12, SearchWorld::submit),
  SUBMIT_LASTING(3, SearchWorld::submitLasting),
  SUBMIT_SCHEDULE(2, SearchWorld::submitSchedule),
  SUBMIT_IMPOSSIBLE(1, SearchWorld::submitImpossible),
  REPEAT(2, SearchWorld::repeat),
  CANCEL(3, SearchWorld::cancel),
  CANCEL_BEFORE_SUBMISSION(1, SearchWorld::cancelBeforeSubmission),
  BURST(1, SearchWorld::burst),

  // Operators

  RENAME_QUEUE(1, SearchWorld::renameQueue),
  MOVE_QUEUE(1, SearchWorld::moveQueue),
  DROP_QUEUE(1, SearchWorld::dropQueue),
  CHANGE_QUEUE(1, SearchWorld::changeQueue),
  CHANGE_GUARANTEES(1, SearchWorld::changeGuarantees),
  TAKE_DOMAIN_OUT(1, (world, draw) -> world.switchDomain(draw, true)),
  TAKE_DOMAIN_BACK(1, (world, draw) -> world.switchDomain(draw, false)),

  // Workers

  CRASH(2, (world, draw) -> world.scope.crash(worker(draw), 300 + draw.nextInt(5_000))),
  REPLACE(1, SearchKind::replaceWorker),
  CUT(1, (world, draw) -> world.scope.cut(worker(draw), 300 + draw.nextInt(16_000))),
  SILENCE(1, (world, draw) -> world.scope.network.silence(worker(draw), 300 + draw.nextInt(9_000))),
  REFUSE_CONNECTIONS(
      1, (world, draw) -> world.scope.network.refuse(worker(draw), 300 + draw.nextInt(9_000))),
  REJECT_STARTS(
      2, (world, draw) -> world.scope.rejectStarts(worker(draw), 300 + draw.nextInt(9_000))),
  FAIL_ALL(1, (world, draw) -> world.scope.failAll(worker(draw), 300 + draw.nextInt(4_000))),
  STALL(1, (world, draw) -> world.scope.stall(worker(draw), 300 + draw.nextInt(9_000))),
  SLOW_DOWN(1, SearchKind::slowWorkerDown),
  DRAIN(2, (world, draw) -> world.scope.drain(worker(draw), 2_000 + draw.nextInt(6_000))),
  LATE_ORDERS(1, SearchKind::delayOrders),
  LOSE_ANSWERS(1, SearchWorld::loseAnswers),
  FOREIGN_HEARTBEAT(2, (world, draw) -> ForeignHeartbeats.hear(world.scope, worker(draw), draw)),

  // Leader

  CHANGE_LEADER(1, (world, draw) -> world.changeLeader()),
  LOSE_LEADER(1, (world, draw) -> world.loseLeader(200 + draw.nextInt(4_000)));

  /** Kinds that disturb no process and no connection. */
  static final List<SearchKind> UNDISTURBED =
      List.of(
          SUBMIT,
          SUBMIT_LASTING,
          SUBMIT_SCHEDULE,
          SUBMIT_IMPOSSIBLE,
          REPEAT,
          CANCEL,
          CANCEL_BEFORE_SUBMISSION,
          BURST,
          RENAME_QUEUE,
          CHANGE_QUEUE,
          CHANGE_GUARANTEES);

  private final int weight;
  private final BiConsumer<SearchWorld, Random> effect;

  SearchKind(int weight, BiConsumer<SearchWorld, Random> effect) {
    this.weight = weight;
    this.effect = effect;
  }

  /** Returns kinds, each as often as its weight says. */
  static List<SearchKind> weighted(List<SearchKind> kinds) {
    return kinds.stream().flatMap(kind -> Stream.generate(() -> kind).limit(kind.weight)).toList();
  }

  void happenIn(SearchWorld world, Random draw) {
    effect.accept(world, draw);
  }

  private static void replaceWorker(SearchWorld world, Random draw) {
    world.scope.replace(worker(draw), kind(draw), 300 + draw.nextInt(4_000));
  }

  private static void slowWorkerDown(SearchWorld world, Random draw) {
    world.scope.slowDown(worker(draw), 2 + draw.nextInt(8), 300 + draw.nextInt(9_000));
  }

  private static void delayOrders(SearchWorld world, Random draw) {
    world.scope.delayOrders(draw.nextInt(50) / 100.0, 300 + draw.nextInt(6_000));
  }

  private static String worker(Random draw) {
    return "w" + draw.nextInt(SearchWorld.WORKERS);
  }

  private static EmulatedKind kind(Random draw) {
    Resources capacity =
        draw.nextBoolean()
            ? SearchWorld.CAPACITY
            : new Resources(32_000, 128_000, 1 << draw.nextInt(4));
    return new EmulatedKind(
        draw.nextInt(4) == 0 ? SearchWorld.OTHER_POOL : EmulatedScope.POOL,
        capacity,
        draw.nextBoolean() ? "a" : "b");
  }
}
