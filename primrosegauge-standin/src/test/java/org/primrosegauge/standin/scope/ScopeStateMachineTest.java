package org.primrosegauge.standin.scope;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.StepSpec;

/** Random events over the real ledger and scheduler; the world checks what must hold. */
class ScopeStateMachineTest {

  private static final int WORKERS = 7;
  private static final long SETTLE_MILLIS = 120_000;

  @Provide
  Arbitrary<Long> seeds() {
    return Arbitraries.longs().between(1, 1_000_000_000);
  }

  @Property(tries = 120, seed = "20261203", shrinking = ShrinkingMode.OFF)
  void keepsItsPromisesAfterAnyOrderOfEvents(@ForAll("seeds") long seed) {
    keepsItsPromises(seed, world -> {});
  }

  /** The same beside heartbeats of another writer, any field of which may be a worker's own. */
  @Property(tries = 60, seed = "20261207", shrinking = ShrinkingMode.OFF)
  void keepsItsPromisesBesideHeartbeatsOfAnotherWriter(@ForAll("seeds") long seed) {
    Random random = new Random(~seed);
    keepsItsPromises(
        seed, world -> ForeignHeartbeats.hear(world, "w" + random.nextInt(WORKERS), random));
  }

  private static void keepsItsPromises(long seed, Consumer<EmulatedScope> disturbance) {
    Random random = new Random(seed);
    EmulatedScope world = new EmulatedScope(seed, WORKERS, random.nextBoolean());
    world.isCalm = false;
    world.run(1_500);
    List<String> ids = new ArrayList<>();
    world.network.lostAnswers = random.nextInt(3) * 0.03;
    world.network.lateOrders = random.nextInt(3) * 0.02;
    for (int i = 0; i < 60; i++) {
      act(world, random, ids);
      disturbance.accept(world);
      world.run(50 + random.nextInt(600));
    }
    world.network.lostAnswers = 0;
    world.network.lateOrders = 0;
    for (int domain = 0; domain < 3; domain++) {
      world.switchDomain("d" + domain, false);
    }
    world.run(SETTLE_MILLIS);
    assertThat(world.checker.violations).isEmpty();
    for (String id : ids) {
      assertWithMessage(id).that(world.statusOf(id).isFinal()).isTrue();
    }
  }

  private static void act(EmulatedScope world, Random random, List<String> ids) {
    String worker = "w" + random.nextInt(WORKERS);
    switch (random.nextInt(20)) {
      case 0 -> world.crash(worker, 500 + random.nextInt(4_000));
      case 1 -> world.cut(worker, 500 + random.nextInt(16_000));
      case 2 -> world.stall(worker, 6_000);
      case 3 -> world.failAll(worker, 3_000);
      case 4 -> world.drain(worker);
      case 5 -> world.loseLeader(200 + random.nextInt(4_000));
      case 6 -> world.changeLeader();
      case 7 -> world.switchDomain("d" + random.nextInt(3), random.nextBoolean());
      case 8, 9 -> {
        if (!ids.isEmpty()) {
          world.cancel(ids.get(random.nextInt(ids.size())));
        }
      }
      default -> submit(world, random, ids);
    }
  }

  private static void submit(EmulatedScope world, Random random, List<String> ids) {
    String id = "job" + ids.size();
    ids.add(id);
    if (random.nextInt(10) == 0) {
      world.poison(id);
    }
    List<StepSpec> steps = new ArrayList<>();
    int count = 1 + random.nextInt(2);
    for (int i = 0; i < count; i++) {
      Resources task =
          new Resources(2_000 + random.nextInt(24_000), 20_000, 1 << random.nextInt(4));
      steps.add(
          StepSpec.builder(1 + random.nextInt(5))
              .task(task)
              .estimatedMillis(500 + random.nextInt(4_000))
              .gang(random.nextBoolean())
              .rackLocal(random.nextInt(4) == 0)
              .checkpoints(random.nextBoolean())
              .maxPerWorker(random.nextInt(4) == 0 ? 1 : 0)
              .dependsOn(i == 0 ? List.of() : List.of(0))
              .build());
    }
    String customer = random.nextBoolean() ? "first" : "second";
    world.submit(id, random.nextInt(3), customer, steps, 500 + random.nextInt(5_000));
  }
}
