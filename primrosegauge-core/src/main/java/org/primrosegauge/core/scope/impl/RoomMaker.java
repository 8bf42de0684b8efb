package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.StepSpec;

/**
 * Chooses the runs to stop so that urgent work can start.
 *
 * <p>Answers a burst of priority 0 on a full fleet, and a claim of guaranteed accelerators that
 * others have borrowed: the runs with the least unsaved work give way, a gang as a whole. Work of
 * priority 0 that is within its customer's guarantee never gives way.
 *
 * <p>Each worker is looked at once for a demand, and again only after a choice that concerns it.
 *
 * <p>Not thread-safe.
 */
final class RoomMaker {

  /**
   * Most that urgent work beyond its customer's guarantee may cost others, as a multiple of its own
   * work.
   */
  private static final double MOST_LOST = 3.0;

  /** Added to the cost of a worker far from the data, in core-seconds. */
  private static final double FAR_COST = 1_000;

  /** A worker for a task and the runs that have to end there first. */
  private record Offer(WorkerSession worker, int number, Set<RunControl> victims, double cost) {

    static final Comparator<Offer> ORDER =
        Comparator.comparingDouble(Offer::cost).thenComparingInt(Offer::number);
  }

  private final ScopeState state;
  private final Placer placer;
  private final Victims victims;
  private final RoomFailures failures;

  RoomMaker(ScopeState state, Placer placer) {
    this.state = state;
    this.placer = placer;
    this.victims = new Victims(state);
    this.failures = new RoomFailures(state);
  }

  /** Forgets what earlier attempts found. */
  void clear() {
    victims.clear();
    failures.clear();
  }

  /**
   * Returns room for all tasks of a demand near to each other and to their data, or nothing where
   * none can be made.
   */
  Optional<Reservation> makeRoomNear(Demand demand, long nowMillis) {
    return makeRoomIn(placer.nearGroups(demand), demand, true, nowMillis);
  }

  /** Returns room for all tasks of a demand, or nothing where none can be made. */
  Optional<Reservation> makeRoom(Demand demand, long nowMillis) {
    return makeRoomIn(List.of(placer.anywhere(demand)), demand, false, nowMillis);
  }

  /** Returns when attempts that were left out are due; the largest value when none was. */
  long nextRetryMillis(long nowMillis) {
    return failures.nextRetryMillis(nowMillis);
  }

  private Optional<Reservation> makeRoomIn(
      List<RoomIndex.Group> groups, Demand demand, boolean isNear, long nowMillis) {
    Guarantees guarantees = new Guarantees(demand);
    RoomFailures.Shape shape =
        RoomFailures.shapeOf(demand, isNear, guarantees.isWithin ? guarantees.claimant : null);
    double mostLost = guarantees.isWithin ? Double.MAX_VALUE : MOST_LOST * workOf(demand);
    // What a step's own runs take of its limit a worker says nothing about other steps.
    boolean isComparable = demand.spec().maxPerWorker() == 0 || !state.hasRuns(demand.key());
    if (isComparable && failures.isKnown(shape, demand, mostLost, nowMillis)) {
      return Optional.empty();
    }
    Draft best = null;
    int held = 0;
    for (RoomIndex.Group group : groups) {
      Draft draft = new Draft(demand, guarantees, nowMillis);
      draft.fill(group);
      held = Math.max(held, draft.mostHeld());
      boolean isBetter = draft.isWhole() && (best == null || draft.cost < best.cost);
      best = isBetter ? draft : best;
    }
    if (best != null && best.cost <= mostLost) {
      return Optional.of(best.reservation(isNear));
    }
    if (isComparable && best == null) {
      failures.noteImpossible(shape, demand, held + 1, nowMillis);
    } else if (isComparable) {
      failures.noteTooDear(shape, demand, best.cost, nowMillis);
    }
    return Optional.empty();
  }

  /** Returns the work that a demand is estimated to do, in core-seconds. */
  private static double workOf(Demand demand) {
    StepSpec spec = demand.spec();
    return RunControl.weightOf(spec.task())
        * demand.tasks().size()
        * spec.estimatedMillis()
        / 1_000.0;
  }

  static Resources times(Resources one, int count) {
    return new Resources(
        one.milliCores() * count, one.memoryMib() * count, one.accelerators() * count);
  }

  /** Room that is being put together, task by task. */
  private final class Draft {

    private final Demand demand;
    private final Guarantees guarantees;
    private final long nowMillis;
    private final Map<WorkerSession, Resources> freed = new HashMap<>();
    private final Map<WorkerSession, Integer> counts = new HashMap<>();
    private final Map<WorkerSession, Offer> offers = new HashMap<>();
    private final PriorityQueue<Offer> byCost = new PriorityQueue<>(Offer.ORDER);
    private final Set<RunControl> stopped = new LinkedHashSet<>();
    private final List<WorkerSession> chosen = new ArrayList<>();
    private double cost;
    private boolean isTooWide;

    Draft(Demand demand, Guarantees guarantees, long nowMillis) {
      this.demand = demand;
      this.guarantees = guarantees;
      this.nowMillis = nowMillis;
    }

    /** Takes the cheapest offers of a group until all tasks have a worker or none is left. */
    void fill(RoomIndex.Group group) {
      Resources all = times(demand.spec().task(), demand.tasks().size());
      state.examined(1);
      if (!all.fitsIn(group.capacity())) {
        isTooWide = true;
        return;
      }
      int number = 0;
      for (WorkerSession worker : group.members()) {
        state.examined(1);
        if (placer.isUsable(worker, demand, nowMillis)) {
          renew(worker, number);
          number++;
        }
      }
      while (!isWhole() && !byCost.isEmpty()) {
        Offer offer = byCost.poll();
        if (offers.get(offer.worker()) == offer) {
          take(offer);
        }
      }
    }

    /** Returns the number of tasks for which the group may hold room; more it does not hold. */
    int mostHeld() {
      return isTooWide ? demand.tasks().size() - 1 : chosen.size();
    }

    boolean isWhole() {
      return chosen.size() == demand.tasks().size();
    }

    Reservation reservation(boolean isNear) {
      Set<RunId> ids = new LinkedHashSet<>();
      stopped.forEach(victim -> ids.add(victim.id));
      long until =
          nowMillis + 2 * state.settings.stopTimeoutMillis() + state.settings.pollWaitMillis();
      return new Reservation(demand, chosen, ids, cost, isNear, until);
    }

    /** Notes what an offer takes, and renews the offers of the workers that it concerns. */
    private void take(Offer offer) {
      Set<WorkerSession> concerned = new LinkedHashSet<>();
      concerned.add(offer.worker());
      for (RunControl victim : offer.victims()) {
        if (stopped.add(victim)) {
          freed.merge(victim.worker, victim.spec.task(), Resources::plus);
          concerned.add(victim.worker);
        }
      }
      counts.merge(offer.worker(), 1, Integer::sum);
      chosen.add(offer.worker());
      cost += offer.cost();
      state.examined(concerned.size());
      for (WorkerSession worker : concerned) {
        Offer before = offers.get(worker);
        if (before != null) {
          renew(worker, before.number());
        }
      }
    }

    private void renew(WorkerSession worker, int number) {
      Offer offer = offer(worker, number);
      if (offer == null) {
        offers.remove(worker);
      } else {
        offers.put(worker, offer);
        byCost.add(offer);
      }
    }

    /** Returns what room for one more task costs on a worker; null where none can be made. */
    private Offer offer(WorkerSession worker, int number) {
      StepSpec spec = demand.spec();
      int before = counts.getOrDefault(worker, 0);
      boolean isAtLimit = spec.maxPerWorker() > 0 && isAtLimit(worker, before);
      Resources need = times(spec.task(), before + 1);
      Set<RunControl> extra = new LinkedHashSet<>();
      double lost = isAtLimit ? Double.NaN : makeFit(worker, need, extra);
      if (Double.isNaN(lost)) {
        return null;
      }
      boolean isFar = Placer.isFarFromData(spec, worker);
      double spare = worker.free().accelerators() / 1_000.0;
      return new Offer(worker, number, extra, lost + (isFar ? FAR_COST : 0) + spare);
    }

    private boolean isAtLimit(WorkerSession worker, int before) {
      return worker.tasksOf(demand.key()) + before >= demand.spec().maxPerWorker();
    }

    /** Collects the runs that have to end; returns their cost, or NaN when that is not enough. */
    private double makeFit(WorkerSession worker, Resources need, Set<RunControl> extra) {
      Resources ended = freed.getOrDefault(worker, Resources.NONE);
      if (worker.fitsWithout(need, ended)) {
        return 0;
      }
      Victims.OnWorker here = victims.on(worker, nowMillis);
      Resources most = guarantees.isWithin ? here.most() : here.mostNotUrgent();
      if (!worker.fitsWithout(need, ended.plus(most))) {
        return Double.NaN;
      }
      double lost = 0;
      for (Victims.Victim victim : here.byCost()) {
        state.examined(1);
        boolean mayStop = victim.isStoppable() && !stopped.contains(victim.run());
        if (!mayStop || extra.contains(victim.run()) || !guarantees.mayStop(victim)) {
          continue;
        }
        lost += victim.cost();
        for (RunControl run : victim.together()) {
          boolean isNew = !stopped.contains(run) && extra.add(run);
          if (isNew && run.worker == worker) {
            ended = ended.plus(run.spec.task());
          }
        }
        if (worker.fitsWithout(need, ended)) {
          return lost;
        }
      }
      return Double.NaN;
    }
  }

  /** Which runs may be stopped for a demand, by priority and by the customers' guarantees. */
  private final class Guarantees {

    private final CustomerId claimant;
    private final boolean isWithin;

    Guarantees(Demand demand) {
      this.claimant = demand.job().job().customer();
      int wanted = demand.spec().task().accelerators() * demand.tasks().size();
      int guaranteed =
          claimant == null ? 0 : state.ledger.configuration().guaranteedAccelerators(claimant);
      this.isWithin = state.urgentUse.of(claimant) + wanted <= guaranteed;
    }

    boolean mayStop(Victims.Victim victim) {
      if (!victim.isUrgent()) {
        return true;
      }
      CustomerId owner = victim.run().job.job().customer();
      if (!isWithin || owner == null || owner.equals(claimant)) {
        return false;
      }
      // A customer beyond its guarantee has borrowed, and none of its runs is protected.
      return state.urgentUse.of(owner) > state.ledger.configuration().guaranteedAccelerators(owner);
    }
  }
}
