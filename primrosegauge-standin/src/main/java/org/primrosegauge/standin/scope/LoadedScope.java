package org.primrosegauge.standin.scope;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.JobStatus;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.StepSpec;

/**
 * Plays the load of a large scope in virtual time and watches what its users are promised.
 *
 * <p>Not thread-safe. Life-cycle: create it, plan trouble with {@link #trouble}, then {@link #play}
 * once.
 *
 * @since 0.3
 */
public final class LoadedScope {

  /** Time in which a customer's urgent jobs within its guarantee must have begun. */
  public static final long RECLAIM_MILLIS = 2_900;

  /** Time in which workers are found before the load begins. */
  private static final long WARM_UP_MILLIS = 3_000;

  private static final long SAMPLE_MILLIS = 100;

  /** Something that goes wrong. */
  @FunctionalInterface
  public interface Trouble {
    /** Lets it happen. */
    void strike(EmulatedScope scope);
  }

  private record Span(long fromMillis, long untilMillis) {}

  private final EmulatedScope scope;
  private final EmulatedFleet fleet;
  private final ScopeConfiguration configuration;
  private final List<EmulatedLoad.Arrival> arrivals;
  private final List<EmulatedLoad.Arrival> open = new ArrayList<>();
  private final long beginMillis;
  private final List<Span> troubles = new ArrayList<>();
  private final Map<JobId, Long> holes = new HashMap<>();
  private final Set<JobId> beyondGuarantee = new HashSet<>();
  private long longestHoleMillis;

  /**
   * Creates a scope whose workers are known to the leader.
   *
   * @param lengthMillis time until the last arrival, in milliseconds
   * @since 0.3
   */
  public LoadedScope(long seed, int workers, long lengthMillis, EventMeter cost) {
    this(seed, workers, 1, lengthMillis, cost);
  }

  /**
   * Creates a scope whose workers are known to the leader, under more traffic than usual.
   *
   * @param traffic how many times as much arrives as usual
   * @param lengthMillis time until the last arrival, in milliseconds
   * @since 0.3
   */
  public LoadedScope(long seed, int workers, double traffic, long lengthMillis, EventMeter cost) {
    fleet = EmulatedLoad.fleet(workers);
    configuration = EmulatedLoad.configuration(fleet);
    arrivals = EmulatedLoad.draw(seed, fleet, traffic, lengthMillis);
    scope = new EmulatedScope(seed, fleet, configuration, cost);
    scope.run(WARM_UP_MILLIS);
    beginMillis = scope.nowMillis();
    for (EmulatedLoad.Arrival arrival : arrivals) {
      scope.at(beginMillis + arrival.atMillis(), () -> handIn(arrival));
    }
  }

  /**
   * Plans trouble. Promises that hold only without trouble are not watched while it lasts.
   *
   * @param atMillis when it strikes, from the beginning of the load
   * @param forMillis how long it lasts, in milliseconds
   * @since 0.3
   */
  public void trouble(long atMillis, long forMillis, Trouble trouble) {
    long from = beginMillis + atMillis;
    troubles.add(new Span(from, from + forMillis));
    scope.isCalm = false;
    scope.at(from, () -> trouble.strike(scope));
  }

  /**
   * Returns the scope.
   *
   * @since 0.3
   */
  public EmulatedScope scope() {
    return scope;
  }

  private void handIn(EmulatedLoad.Arrival arrival) {
    open.add(arrival);
    scope.submit(arrival.jobAt(scope.nowMillis()), arrival.workMillis());
  }

  /**
   * Lets time pass.
   *
   * @return what was seen
   * @since 0.3
   */
  public LoadedOutcome play(long millis) {
    for (long passed = 0; passed < millis; passed += SAMPLE_MILLIS) {
      scope.run(SAMPLE_MILLIS);
      open.removeIf(arrival -> isOver(arrival.job().id()));
      noteDemand();
      noteHoles();
    }
    return outcome();
  }

  private boolean isOver(JobId job) {
    return scope.status(job).filter(JobStatus::isFinal).isPresent();
  }

  // Guarantees

  /** Notes urgent jobs of customers that ask for more than they are guaranteed. */
  private void noteDemand() {
    Map<CustomerId, Integer> asked = new HashMap<>();
    for (EmulatedLoad.Arrival arrival : open) {
      if (arrival.sheet().priority() == 0) {
        asked.merge(arrival.job().customer(), arrival.accelerators(), Integer::sum);
      }
    }
    for (EmulatedLoad.Arrival arrival : open) {
      CustomerId customer = arrival.job().customer();
      boolean isBeyond =
          asked.getOrDefault(customer, 0) > configuration.guaranteedAccelerators(customer);
      if (isBeyond && begunMillis(arrival).isEmpty()) {
        beyondGuarantee.add(arrival.job().id());
      }
    }
  }

  private OptionalLong begunMillis(EmulatedLoad.Arrival arrival) {
    return scope.begunMillis(arrival.job().id());
  }

  private boolean isPromised(EmulatedLoad.Arrival arrival) {
    long asked = beginMillis + arrival.atMillis();
    return arrival.sheet().priority() == 0
        && asked + RECLAIM_MILLIS <= scope.nowMillis()
        && !beyondGuarantee.contains(arrival.job().id())
        && !isNearTrouble(asked);
  }

  private boolean isNearTrouble(long askedMillis) {
    return troubles.stream()
        .anyMatch(
            span ->
                askedMillis + RECLAIM_MILLIS >= span.fromMillis()
                    && askedMillis <= span.untilMillis() + RECLAIM_MILLIS);
  }

  private boolean beganInTime(EmulatedLoad.Arrival arrival) {
    long latest = beginMillis + arrival.atMillis() + RECLAIM_MILLIS;
    OptionalLong begun = begunMillis(arrival);
    return begun.isPresent() && begun.getAsLong() <= latest;
  }

  // Holes

  /** A hole is a time in which a job waits although most is free and it fits twice over. */
  private void noteHoles() {
    boolean isTrouble =
        troubles.stream()
            .anyMatch(
                span ->
                    scope.nowMillis() >= span.fromMillis()
                        && scope.nowMillis() <= span.untilMillis());
    if (isTrouble || !isMostlyFree()) {
      holes.clear();
      return;
    }
    Set<JobId> running = new HashSet<>();
    for (EmulatedWorker worker : scope.workers.values()) {
      worker.runs.keySet().forEach(run -> running.add(run.task().job()));
    }
    for (EmulatedLoad.Arrival arrival : open) {
      JobId job = arrival.job().id();
      if (!running.contains(job) && waitsThoughItFitsTwice(job)) {
        long hole = holes.merge(job, SAMPLE_MILLIS, Long::sum);
        longestHoleMillis = Math.max(longestHoleMillis, hole);
      } else {
        holes.remove(job);
      }
    }
  }

  private boolean isMostlyFree() {
    Resources used = Resources.NONE;
    for (EmulatedWorker worker : scope.workers.values()) {
      used = used.plus(worker.used());
    }
    Resources each = fleet.capacity();
    long workers = fleet.workers();
    return 2L * used.milliCores() < workers * each.milliCores()
        && 2L * used.accelerators() < workers * each.accelerators();
  }

  private boolean waitsThoughItFitsTwice(JobId job) {
    return scope.ledger.job(job).stream()
        .flatMap(entry -> entry.occurrence(0).stream())
        .filter(step -> !step.isDone())
        .findFirst()
        .filter(step -> fitsTwice(step.spec()))
        .isPresent();
  }

  private boolean fitsTwice(StepSpec step) {
    int atOnce = step.gang() ? step.count() : 1;
    return scope.roomFor(step) >= 2 * atOnce;
  }

  // Outcome

  private LoadedOutcome outcome() {
    List<EmulatedLoad.Arrival> promised = arrivals.stream().filter(this::isPromised).toList();
    long inTime = promised.stream().filter(this::beganInTime).count();
    long done = arrivals.stream().filter(arrival -> isOver(arrival.job().id())).count();
    return new LoadedOutcome(
        arrivals.size(),
        (int) done,
        promised.size(),
        (int) inTime,
        longestHoleMillis,
        scope.runsEnded(RunOutcome.LAPSED),
        scope.lostHeartbeats(),
        scope.threadFigures(),
        scope.violations());
  }
}
