package org.primrosegauge.core.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.site.Service;

class RequestRouterPropertyTest {

  private static final long FAR_MILLIS = 100_000;
  private static final int SLOTS = 2;

  @Property(seed = "20261203", tries = 400)
  void keepsItsPromisesAfterAnyOrderOfEvents(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 400) int steps) {
    RouterWorld world = new RouterWorld(seed, RouterWorld.service(6), 4, SLOTS, 3);
    for (int i = 0; i < steps; i++) {
      world.step();
    }
    world.advance(FAR_MILLIS);
    while (!world.open.isEmpty()) {
      world.endAny(AttemptOutcome.ANSWERED);
    }
    while (!world.claiming.isEmpty()) {
      world.answerClaim();
    }
    assertThat(world.router.isIdle()).isTrue();
    for (RouterWorld.Caller caller : world.callers.values()) {
      assertWithMessage("key of %s, which never began, given back", caller.description.id())
          .that(caller.givenBack)
          .isEqualTo(caller.granted && !caller.begun);
    }
    checkNoSlotLeaked(world);
  }

  private static void checkNoSlotLeaked(RouterWorld world) {
    world.advance(FAR_MILLIS);
    world.domainOut = false;
    world.router.outOfService(Set.of(), Set.of(), world.nowMillis);
    world.executors.forEach(
        (id, executor) -> {
          executor.running = 0;
          world.announce(id, false);
        });
    int all = world.executors.size() * SLOTS;
    for (int i = 0; i < all; i++) {
      world.receive(RouterWorld.customer(0), true, false, false, world.nowMillis + FAR_MILLIS);
    }
    long refused =
        world.failures.stream()
            .filter(fail -> fail.reason() != RefusalReason.BODY_TOO_LARGE)
            .filter(
                fail ->
                    world.callers.get(fail.request()).description.deadlineMillis()
                        > world.nowMillis)
            .count();
    long tooLarge = all - world.open.size();
    assertThat(refused).isEqualTo(0);
    assertThat(tooLarge).isAtMost(all / 2);
  }

  @Property(seed = "20261203", tries = 20)
  void failuresDoNotMultiplyLoad(
      @ForAll long seed, @ForAll @IntRange(min = 500, max = 3_000) int requests) {
    RouterWorld world = new RouterWorld(seed, RouterWorld.service(100), 30, 8, 3);
    int sent = 0;
    for (int i = 0; i < requests; i++) {
      world.executors.keySet().forEach(id -> world.announce(id, false));
      world.receive(RouterWorld.customer(i % 3), true, false, false, world.nowMillis + FAR_MILLIS);
      if (i % 3 == 0) {
        world.endAny(AttemptOutcome.ANSWERED_ERROR);
        world.endAny(AttemptOutcome.NOT_SENT);
        world.endAny(AttemptOutcome.ANSWERED);
        world.endAny(AttemptOutcome.CONNECTION_LOST);
      }
      world.advance(7);
      sent++;
    }
    assertThat(world.dispatches).isAtMost((int) (1.1 * sent));
  }

  @Property(seed = "20261203", tries = 100)
  void customerBelowItsShareIsNotRefusedWhileAnotherIsAbove(
      @ForAll List<@IntRange(min = 0, max = 2) Integer> arrivals, @ForAll long seed) {
    int maxQueued = 8;
    Service service = RouterWorld.service(maxQueued);
    RouterWorld world = new RouterWorld(seed, service, 1, 1, 3);
    world.announce(RouterWorld.target(0), false);
    Map<CustomerId, Integer> waiting = new HashMap<>();
    for (int arrival : arrivals) {
      int failed = world.failures.size();
      int dispatched = world.dispatches;
      CustomerId customer = RouterWorld.customer(arrival);
      world.receive(customer, true, false, false, FAR_MILLIS);
      waiting.merge(customer, world.dispatches > dispatched ? 0 : 1, Integer::sum);
      for (RequestAction.Fail fail : world.failures.subList(failed, world.failures.size())) {
        checkFairRefusal(world, fail, waiting, maxQueued);
      }
    }
  }

  private static void checkFairRefusal(
      RouterWorld world, RequestAction.Fail fail, Map<CustomerId, Integer> waiting, int places) {
    RequestId id = fail.request();
    CustomerId loser = world.callers.get(id).description.customer();
    if (fail.reason() != RefusalReason.BODY_TOO_LARGE) {
      double totalWeight = waiting.keySet().stream().mapToInt(c -> weight(c)).sum();
      assertWithMessage("%s loses a place below its share: %s", loser, waiting)
          .that((double) waiting.get(loser))
          .isGreaterThan(places * weight(loser) / totalWeight);
    }
    waiting.merge(loser, -1, Integer::sum);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 10, 100})
  void slotsAreSharedByWeightWhateverWasUsedBefore(int usedAlone) {
    RouterWorld world = new RouterWorld(1, RouterWorld.service(1_000), 1, 3, 2);
    world.announce(RouterWorld.target(0), false);
    for (int i = 0; i < usedAlone + 100; i++) {
      world.receive(RouterWorld.customer(0), true, false, false, FAR_MILLIS);
    }
    for (int i = 0; i < usedAlone; i++) {
      world.endAny(AttemptOutcome.ANSWERED);
    }
    for (int i = 0; i < 100; i++) {
      world.receive(RouterWorld.customer(1), true, false, false, FAR_MILLIS);
    }
    int heavy = 0;
    for (int i = 0; i < 60; i++) {
      int before = world.open.size();
      world.endAny(AttemptOutcome.ANSWERED);
      assertThat(world.open.size()).isEqualTo(before);
      long held = world.open.keySet().stream().filter(id -> isHeavy(world, id)).count();
      heavy += (int) held;
    }
    assertThat(heavy).isAtLeast(60 * 2 - 10);
    assertThat(heavy).isAtMost(60 * 2 + 10);
  }

  private static boolean isHeavy(RouterWorld world, AttemptId id) {
    RequestDescription description = world.callers.get(id.request()).description;
    return description.customer().equals(RouterWorld.customer(1));
  }

  private static int weight(CustomerId customer) {
    return customer.equals(RouterWorld.customer(1)) ? 2 : 1;
  }
}
