package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepSpec;

/**
 * Chooses the runs to stop so that urgent work can start.
 *
 * <p>Answers a burst of priority 0 on a full fleet, and a claim of guaranteed accelerators that
 * others have borrowed: the runs with the least unsaved work give way, a gang as a whole. Work of
 * priority 0 that is within its customer's guarantee never gives way.
 */
final class RoomMaker {

  /**
   * Most that urgent work beyond its customer's guarantee may cost others, as a multiple of its own
   * work.
   */
  private static final double MOST_LOST = 3.0;

  /** Time that a stop and a later start cost a run beside its unsaved work, in seconds. */
  private static final double RESTART_SECONDS = 0.6;

  /** A gang that is stopped has to gather all its workers again. */
  private static final double GANG_FACTOR = 2.0;

  /** Added to the cost of a worker far from the data, in core-seconds. */
  private static final double FAR_COST = 1_000;

  /** Added to the cost of stopping urgent work, in core-seconds: it gives way last. */
  private static final double URGENT_VICTIM_COST = 100_000;

  /** A worker with the tasks it can take and the runs that have to end there first. */
  private record Offer(WorkerSession worker, Set<RunControl> victims, double cost) {}

  private final ScopeState state;
  private final Placer placer;

  RoomMaker(ScopeState state, Placer placer) {
    this.state = state;
    this.placer = placer;
  }

  /**
   * Returns room for all tasks of a demand near to each other and to their data, or nothing where
   * none can be made.
   */
  Optional<Reservation> makeRoomNear(Demand demand, long nowMillis) {
    Guarantees guarantees = new Guarantees(demand);
    return placer.nearGroups(demand, nowMillis).stream()
        .map(group -> makeRoom(demand, group, guarantees, nowMillis))
        .flatMap(Optional::stream)
        .min(Comparator.comparingDouble(Reservation::cost));
  }

  /** Returns room for all tasks of a demand, or nothing where none can be made. */
  Optional<Reservation> makeRoom(Demand demand, long nowMillis) {
    return makeRoom(demand, placer.usable(demand, nowMillis), new Guarantees(demand), nowMillis);
  }

  private Optional<Reservation> makeRoom(
      Demand demand, List<WorkerSession> usable, Guarantees guarantees, long nowMillis) {
    Draft draft = new Draft(demand, guarantees, nowMillis);
    for (int i = 0; i < demand.tasks().size(); i++) {
      state.examined(usable.size());
      Optional<Offer> best =
          usable.stream()
              .map(draft::offer)
              .flatMap(Optional::stream)
              .min(Comparator.comparingDouble(Offer::cost));
      if (best.isEmpty()) {
        return Optional.empty();
      }
      draft.take(best.get());
    }
    if (!guarantees.isWithin && draft.cost > MOST_LOST * workOf(demand)) {
      return Optional.empty();
    }
    return Optional.of(draft.reservation());
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
    private final Set<RunControl> victims = new LinkedHashSet<>();
    private final List<WorkerSession> chosen = new ArrayList<>();
    private double cost;

    Draft(Demand demand, Guarantees guarantees, long nowMillis) {
      this.demand = demand;
      this.guarantees = guarantees;
      this.nowMillis = nowMillis;
    }

    Reservation reservation() {
      Set<RunId> ids = new LinkedHashSet<>();
      victims.forEach(victim -> ids.add(victim.id));
      long until = nowMillis + 2 * state.settings.stopTimeoutMillis() + state.settings.lookMillis();
      return new Reservation(demand, chosen, ids, cost, until);
    }

    /** Notes what an offer takes, for the offers to the tasks after it. */
    void take(Offer offer) {
      for (RunControl victim : offer.victims()) {
        if (victims.add(victim)) {
          freed.merge(victim.worker, victim.spec.task(), Resources::plus);
        }
      }
      counts.merge(offer.worker(), 1, Integer::sum);
      chosen.add(offer.worker());
      cost += offer.cost();
    }

    /** Returns what room for one more task costs on a worker; empty where none can be made. */
    Optional<Offer> offer(WorkerSession worker) {
      StepSpec spec = demand.spec();
      int before = counts.getOrDefault(worker, 0);
      boolean isAtLimit =
          spec.maxPerWorker() > 0 && worker.tasksOf(demand.key()) + before >= spec.maxPerWorker();
      Resources need = times(spec.task(), before + 1);
      Set<RunControl> extra = new LinkedHashSet<>();
      double lost = isAtLimit ? Double.NaN : makeFit(worker, need, extra);
      if (Double.isNaN(lost)) {
        return Optional.empty();
      }
      boolean isFar = Placer.isFarFromData(spec, worker);
      double spare = worker.free().accelerators() / 1_000.0;
      return Optional.of(new Offer(worker, extra, lost + (isFar ? FAR_COST : 0) + spare));
    }

    /** Collects the runs that have to end; returns their cost, or NaN when that is not enough. */
    private double makeFit(WorkerSession worker, Resources need, Set<RunControl> extra) {
      Resources ended = freed.getOrDefault(worker, Resources.NONE);
      double lost = 0;
      if (worker.fitsWithout(need, ended)) {
        return lost;
      }
      for (RunControl candidate : candidates(worker)) {
        if (extra.contains(candidate)) {
          continue;
        }
        Collection<RunControl> together = state.stoppedWith(candidate);
        lost += guarantees.costOf(together, nowMillis);
        for (RunControl run : together) {
          boolean isNew = !victims.contains(run) && extra.add(run);
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

    private List<RunControl> candidates(WorkerSession worker) {
      Map<StepKey, Double> costs = new LinkedHashMap<>();
      List<RunControl> found = new ArrayList<>();
      state.examined(worker.runs.size());
      for (RunControl run : worker.runs.values()) {
        boolean mayStop = run.isRunning() && !run.stopWanted && !victims.contains(run);
        if (mayStop && guarantees.mayStop(run)) {
          found.add(run);
          costs.computeIfAbsent(
              run.id.task().stepKey(),
              step -> guarantees.costOf(state.stoppedWith(run), nowMillis));
        }
      }
      found.sort(
          Comparator.comparingDouble(
              run -> costs.get(run.id.task().stepKey()) / Math.max(1, run.weight())));
      return found;
    }
  }

  /** Which runs may be stopped for a demand, by priority and by the customers' guarantees. */
  private final class Guarantees {

    private final CustomerId claimant;
    private final boolean isWithin;
    private final Map<CustomerId, Integer> used = new HashMap<>();

    Guarantees(Demand demand) {
      this.claimant = demand.job().job().customer();
      state.examined(state.runs.size());
      for (RunControl run : state.runs.values()) {
        if (state.priorityOf(run.job) == ScopeState.URGENT && run.job.job().customer() != null) {
          used.merge(run.job.job().customer(), run.spec.task().accelerators(), Integer::sum);
        }
      }
      int wanted = demand.spec().task().accelerators() * demand.tasks().size();
      int guaranteed = claimant == null ? 0 : state.ledger.configuration().guaranteedTo(claimant);
      this.isWithin = used.getOrDefault(claimant, 0) + wanted <= guaranteed;
    }

    boolean mayStop(RunControl run) {
      if (state.priorityOf(run.job) > ScopeState.URGENT) {
        return true;
      }
      CustomerId owner = run.job.job().customer();
      if (!isWithin || owner == null || owner.equals(claimant)) {
        return false;
      }
      int guaranteed = state.ledger.configuration().guaranteedTo(owner);
      // A customer beyond its guarantee has borrowed, and none of its runs is protected.
      return used.getOrDefault(owner, 0) > guaranteed;
    }

    double costOf(Collection<RunControl> runs, long nowMillis) {
      double cost = 0;
      for (RunControl run : runs) {
        boolean isUrgent = state.priorityOf(run.job) == ScopeState.URGENT;
        double lost = run.unsavedCoreSeconds(nowMillis) + RESTART_SECONDS * run.weight();
        cost += (run.spec.gang() ? GANG_FACTOR : 1) * lost;
        cost += isUrgent ? URGENT_VICTIM_COST : 0;
      }
      return cost;
    }
  }
}
