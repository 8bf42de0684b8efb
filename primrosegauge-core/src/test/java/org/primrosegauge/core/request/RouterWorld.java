package org.primrosegauge.core.request;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.registry.ContentDigest;
import org.primrosegauge.core.request.cfg.RouterSettings;
import org.primrosegauge.core.site.Customer;
import org.primrosegauge.core.site.Service;
import org.primrosegauge.core.site.SiteConfiguration;

/**
 * A router among executors, peers and callers that do what chance says. It keeps its own account of
 * what truly happened and checks each action against it.
 */
final class RouterWorld {

  static final ServiceId SERVICE = new ServiceId("kutipan-core");
  static final FailureDomainId HOME = new FailureDomainId("klang");
  static final long LEASE_MILLIS = 600;

  private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();

  /** True state of an executor. */
  static final class Executor {
    final int slots;
    int open;
    int running;
    boolean leaving = true;
    long expiryMillis;

    Executor(int slots) {
      this.slots = slots;
    }
  }

  /** True state of a request. */
  static final class Caller {
    final RequestDescription description;
    int lastAttempt;
    int openAttempts;
    boolean begun;
    boolean granted;
    boolean givenBack;
    boolean gone;
    int finals;

    Caller(RequestDescription description) {
      this.description = description;
    }
  }

  final RequestRouter router;
  final Random random;
  final Map<RequestId, Caller> callers = new HashMap<>();
  final Map<TargetId, Executor> executors = new HashMap<>();
  final Map<AttemptId, Optional<TargetId>> open = new HashMap<>();
  final Set<RequestId> claiming = new HashSet<>();
  final Set<AttemptId> answered = new HashSet<>();
  final List<RequestAction.Fail> failures = new ArrayList<>();
  final Map<CountedReason, Integer> counts = new HashMap<>();
  boolean domainOut;
  int dispatches;
  long nowMillis;
  private int serial;

  RouterWorld(long seed, Service service, int executorCount, int slots, int customers) {
    random = new Random(seed);
    router = new RequestRouter(HOME, RouterSettings.DEFAULTS, new Random(seed + 1));
    List<Customer> all = new ArrayList<>();
    for (int i = 0; i < customers; i++) {
      all.add(new Customer(customer(i), 0, 1 + i % 2));
    }
    SiteConfiguration site =
        new SiteConfiguration(List.of(), List.of(), all, List.of(), List.of(service));
    carryOut(router.configured(site, nowMillis));
    for (int i = 0; i < executorCount; i++) {
      executors.put(target(i), new Executor(slots));
    }
  }

  static Service service(int maxQueued) {
    return new Service(SERVICE, 1_000, 1_000, maxQueued, 10);
  }

  static CustomerId customer(int number) {
    return new CustomerId("c" + number);
  }

  static TargetId target(int number) {
    return new TargetId("x" + number);
  }

  /** Does one thing chosen by chance. */
  void step() {
    switch (random.nextInt(12)) {
      case 0, 1, 2 -> receiveAny();
      case 3, 4, 5 -> endAny(OUTCOMES[random.nextInt(OUTCOMES.length)]);
      case 6 -> announce(target(random.nextInt(executors.size())), random.nextInt(4) == 0);
      case 7 -> stopLingering();
      case 8 -> peerLoad(random.nextInt(2), random.nextInt(3));
      case 9 -> answerClaim();
      case 10 -> disturb();
      default -> advance(random.nextInt(400));
    }
  }

  private void disturb() {
    int chance = random.nextInt(5);
    if (chance == 0 && !callers.isEmpty()) {
      Caller caller = pick(List.copyOf(callers.values()));
      caller.gone = true;
      carryOut(router.callerGone(caller.description.id(), nowMillis));
    } else if (chance == 1) {
      domainOut = random.nextBoolean();
      Set<FailureDomainId> out = domainOut ? Set.of(HOME) : Set.of();
      executors.values().forEach(e -> e.leaving |= domainOut);
      carryOut(router.outOfService(out, Set.of(), nowMillis));
    } else if (chance == 2) {
      // An outcome that belongs to nothing must change nothing.
      AttemptId stray = new AttemptId(new RequestId("stray-" + serial), 1);
      carryOut(router.ended(stray, OUTCOMES[random.nextInt(OUTCOMES.length)], nowMillis));
    } else if (chance == 3) {
      executors.values().forEach(this::workForAnother);
    } else {
      carryOut(router.peerGone(peer(0), nowMillis));
    }
  }

  /** An executor whose lease ended here may have got a request from its next instance. */
  private void workForAnother(Executor executor) {
    if (nowMillis >= executor.expiryMillis && executor.running < executor.slots) {
      executor.running++;
    }
  }

  private void receiveAny() {
    boolean repeatable = random.nextBoolean();
    boolean keyed = random.nextBoolean();
    receive(
        customer(random.nextInt(3)),
        repeatable,
        keyed,
        random.nextInt(8) == 0,
        nowMillis + 1 + random.nextInt(1_500));
  }

  RequestId receive(
      CustomerId customer, boolean repeatable, boolean keyed, boolean forwarded, long deadline) {
    RequestId id = new RequestId("r" + serial++);
    ContentDigest key = ContentDigest.of("k-" + id);
    Optional<IdempotencyClaim> claim =
        keyed ? Optional.of(new IdempotencyClaim(key, key)) : Optional.empty();
    RequestDescription description =
        new RequestDescription(
            id, customer, SERVICE, deadline, repeatable, claim, forwarded, random.nextInt(1_010));
    callers.put(id, new Caller(description));
    carryOut(router.received(description, nowMillis));
    return id;
  }

  void endAny(AttemptOutcome outcome) {
    if (!open.isEmpty()) {
      end(pick(List.copyOf(open.keySet())), outcome);
    }
  }

  void end(AttemptId id, AttemptOutcome outcome) {
    final Optional<TargetId> target = open.remove(id);
    Caller caller = callers.get(id.request());
    caller.openAttempts--;
    caller.begun |= outcome.mayHaveBegun();
    if (outcome == AttemptOutcome.ANSWERED) {
      answered.add(id);
    }
    target.map(executors::get).ifPresent(e -> noteEnd(e, outcome));
    carryOut(router.ended(id, outcome, nowMillis));
  }

  private void noteEnd(Executor executor, AttemptOutcome outcome) {
    executor.open--;
    if (!outcome.mayStillRun() || random.nextBoolean()) {
      executor.running--;
    }
  }

  private void stopLingering() {
    executors.values().forEach(e -> e.running = e.open);
  }

  void announce(TargetId id, boolean leaving) {
    Executor executor = executors.get(id);
    executor.leaving = leaving || domainOut;
    executor.expiryMillis = nowMillis + LEASE_MILLIS;
    TargetAnnouncement announcement =
        new TargetAnnouncement(
            id,
            SERVICE,
            HOME,
            "http://x",
            executor.slots,
            60,
            executor.running,
            leaving,
            LEASE_MILLIS);
    carryOut(router.announced(announcement, nowMillis));
  }

  private static InstanceId peer(int number) {
    return new InstanceId("p" + number);
  }

  private void peerLoad(int number, int free) {
    FailureDomainId domain = number == 0 ? HOME : new FailureDomainId("penang");
    PeerLoad load = new PeerLoad(peer(number), domain, SERVICE, free, 2);
    carryOut(router.peerLoad(load, nowMillis));
  }

  void answerClaim() {
    if (claiming.isEmpty()) {
      return;
    }
    RequestId id = pick(List.copyOf(claiming));
    claiming.remove(id);
    ClaimResult result =
        switch (random.nextInt(4)) {
          case 0 -> new ClaimResult.Unavailable();
          case 1 ->
              new ClaimResult.AlreadyClaimed(
                  new RequestId("other"), random.nextBoolean(), Optional.of(ExecutionStatus.RAN));
          default -> new ClaimResult.Granted();
        };
    Caller caller = callers.get(id);
    caller.granted = result instanceof ClaimResult.Granted;
    carryOut(router.claimed(id, caller.description.claim().orElseThrow(), result, nowMillis));
  }

  void advance(long millis) {
    nowMillis += millis;
    carryOut(router.tick(nowMillis));
    for (Caller caller : callers.values()) {
      if (caller.description.deadlineMillis() <= nowMillis && !caller.gone) {
        assertWithMessage("%s at its deadline", caller.description.id())
            .that(caller.finals)
            .isEqualTo(1);
      }
    }
  }

  private <T> T pick(List<T> from) {
    return from.get(random.nextInt(from.size()));
  }

  // Checks of each action

  private void carryOut(List<RequestAction> actions) {
    for (RequestAction action : actions) {
      if (action instanceof RequestAction.Dispatch dispatch) {
        checkDispatch(dispatch);
      } else if (action instanceof RequestAction.Forward forward) {
        checkAttempt(forward.attempt());
        open.put(forward.attempt(), Optional.empty());
      } else if (action instanceof RequestAction.Abandon abandon) {
        assertThat(open).containsKey(abandon.attempt());
      } else if (action instanceof RequestAction.Deliver deliver) {
        assertThat(answered).contains(deliver.attempt());
        checkFinal(deliver.attempt().request());
      } else if (action instanceof RequestAction.Fail fail) {
        checkFail(fail);
      } else if (action instanceof RequestAction.Claim claim) {
        assertThat(claiming.add(claim.request())).isTrue();
      } else if (action instanceof RequestAction.Settle settle) {
        checkSettle(settle);
      } else if (action instanceof RequestAction.Count count) {
        counts.merge(count.reason(), 1, Integer::sum);
      }
    }
  }

  private void checkDispatch(RequestAction.Dispatch dispatch) {
    Executor executor = executors.get(dispatch.target());
    assertWithMessage("new work for a leaving executor").that(executor.leaving).isFalse();
    assertWithMessage("lease").that(nowMillis).isLessThan(executor.expiryMillis);
    checkAttempt(dispatch.attempt());
    executor.open++;
    executor.running++;
    dispatches++;
    assertWithMessage("slots in use").that(executor.running).isAtMost(executor.slots);
    open.put(dispatch.attempt(), Optional.of(dispatch.target()));
  }

  private void checkAttempt(AttemptId attempt) {
    Caller caller = callers.get(attempt.request());
    assertThat(attempt.number()).isGreaterThan(caller.lastAttempt);
    assertWithMessage("answered").that(caller.finals).isEqualTo(0);
    assertWithMessage("caller gone").that(caller.gone).isFalse();
    assertWithMessage("two attempts at a time").that(caller.openAttempts).isEqualTo(0);
    if (!caller.description.repeatable()) {
      assertWithMessage("ran twice").that(caller.begun).isFalse();
    }
    if (caller.description.needsClaim()) {
      assertWithMessage("key held").that(caller.granted).isTrue();
    }
    caller.lastAttempt = attempt.number();
    caller.openAttempts++;
  }

  private void checkFinal(RequestId id) {
    Caller caller = callers.get(id);
    caller.finals++;
    assertWithMessage("final answers of %s", id).that(caller.finals).isEqualTo(1);
    assertWithMessage("caller gone").that(caller.gone).isFalse();
  }

  private void checkFail(RequestAction.Fail fail) {
    checkFinal(fail.request());
    failures.add(fail);
    Caller caller = callers.get(fail.request());
    boolean mayHaveBegun = caller.begun || caller.openAttempts > 0;
    boolean elsewhere =
        fail.reason() == RefusalReason.ALREADY_CLAIMED
            || fail.reason() == RefusalReason.ALREADY_RAN;
    if (!elsewhere) {
      assertWithMessage("%s", fail)
          .that(fail.execution())
          .isEqualTo(mayHaveBegun ? ExecutionStatus.UNKNOWN : ExecutionStatus.NOT_RUN);
    }
  }

  private void checkSettle(RequestAction.Settle settle) {
    Caller caller = callers.get(settle.request());
    assertThat(caller.granted).isTrue();
    if (settle.execution() == ExecutionStatus.NOT_RUN) {
      assertWithMessage("key given back").that(caller.begun || caller.openAttempts > 0).isFalse();
      caller.givenBack = true;
    }
  }
}
