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
 * Selects the runs to preempt so that urgent work can start.
 *
 * <p>Covers bursts of priority 0 on a full fleet, and requests for guaranteed accelerators that
 * other customers have borrowed. The runs with the least unsaved work are preempted first, a gang
 * only as a whole. Work of priority 0 that is within its customer's guarantee is never preempted.
 *
 * <p>Each worker is evaluated once for a demand, and again only after a selection that affects it.
 *
 * <p>Not thread-safe.
 */
final class Preemptor {

  /**
   * Highest cost to others of urgent work that exceeds its customer's guarantee, as a multiple of
   * the work's own estimated size.
   */
  private static final double MAX_COST_RATIO = 3.0;

  /** Added to the cost of a worker that is not local to the data, in core-seconds. */
  private static final double REMOTE_COST = 1_000;

  /** A worker for one task and the runs that have to be stopped first. */
  private record PreemptionOption(
      WorkerSession worker, int number, Set<RunState> victims, double cost) {

    static final Comparator<PreemptionOption> ORDER =
        Comparator.comparingDouble(PreemptionOption::cost)
            .thenComparingInt(PreemptionOption::number);
  }

  private final ScopeState state;
  private final Placer placer;
  private final PreemptionCosts costs;
  private final PreemptionFailureCache failureCache;

  Preemptor(ScopeState state, Placer placer) {
    this.state = state;
    this.placer = placer;
    this.costs = new PreemptionCosts(state);
    this.failureCache = new PreemptionFailureCache(state);
  }

  /** Drops the cached results of earlier attempts. */
  void clear() {
    costs.clear();
    failureCache.clear();
  }

  /**
   * Returns a reservation for all tasks of a demand, local to each other and to their data; empty
   * if that capacity cannot be freed at an acceptable cost.
   */
  Optional<Reservation> planLocal(Demand demand, long nowMillis) {
    return planIn(placer.localityGroups(demand), demand, true, nowMillis);
  }

  /**
   * Returns a reservation for all tasks of a demand, regardless of locality; empty if that capacity
   * cannot be freed at an acceptable cost.
   */
  Optional<Reservation> planAnywhere(Demand demand, long nowMillis) {
    return planIn(List.of(placer.matchingWorkers(demand)), demand, false, nowMillis);
  }

  /**
   * Returns the monotonic time at which skipped attempts are to be retried, in milliseconds; {@link
   * Long#MAX_VALUE} if none was skipped.
   */
  long nextRetryMillis(long nowMillis) {
    return failureCache.nextRetryMillis(nowMillis);
  }

  private Optional<Reservation> planIn(
      List<FreeCapacityIndex.WorkerGroup> groups, Demand demand, boolean isLocal, long nowMillis) {
    Guarantees guarantees = new Guarantees(demand);
    PreemptionFailureCache.DemandShape shape =
        PreemptionFailureCache.shapeOf(
            demand, isLocal, guarantees.isWithinGuarantee ? guarantees.claimant : null);
    double maxCost =
        guarantees.isWithinGuarantee ? Double.MAX_VALUE : MAX_COST_RATIO * estimatedWork(demand);
    // A failure due to the step's own runs and its limit per worker does not apply to other steps.
    boolean isComparable = demand.spec().maxPerWorker() == 0 || !state.hasRuns(demand.key());
    if (isComparable && failureCache.isKnownFailure(shape, demand, maxCost, nowMillis)) {
      return Optional.empty();
    }
    PreemptionPlan best = null;
    int maxFitting = 0;
    for (FreeCapacityIndex.WorkerGroup group : groups) {
      PreemptionPlan plan = new PreemptionPlan(demand, guarantees, nowMillis);
      plan.fill(group);
      maxFitting = Math.max(maxFitting, plan.maxFittingTasks());
      boolean isBetter = plan.isComplete() && (best == null || plan.cost < best.cost);
      best = isBetter ? plan : best;
    }
    if (best != null && best.cost <= maxCost) {
      return Optional.of(best.reservation(isLocal));
    }
    if (isComparable && best == null) {
      failureCache.recordInfeasible(shape, demand, maxFitting + 1, nowMillis);
    } else if (isComparable) {
      failureCache.recordTooExpensive(shape, demand, best.cost, nowMillis);
    }
    return Optional.empty();
  }

  /** Returns the estimated work of a demand, in core-seconds. */
  private static double estimatedWork(Demand demand) {
    StepSpec spec = demand.spec();
    return RunState.coreEquivalentsOf(spec.task())
        * demand.tasks().size()
        * demand.expectedMillis()
        / 1_000.0;
  }

  static Resources times(Resources one, int count) {
    return new Resources(
        one.milliCores() * count, one.memoryMib() * count, one.accelerators() * count);
  }

  /** Assignment of tasks to workers that is built up task by task, with the runs to preempt. */
  private final class PreemptionPlan {

    private final Demand demand;
    private final Guarantees guarantees;
    private final long nowMillis;
    private final Map<WorkerSession, Resources> freed = new HashMap<>();
    private final Map<WorkerSession, Integer> counts = new HashMap<>();
    private final Map<WorkerSession, PreemptionOption> options = new HashMap<>();
    private final PriorityQueue<PreemptionOption> byCost =
        new PriorityQueue<>(PreemptionOption.ORDER);
    private final Set<RunState> victims = new LinkedHashSet<>();
    private final List<WorkerSession> workers = new ArrayList<>();
    private double cost;
    private boolean isTooLarge;

    PreemptionPlan(Demand demand, Guarantees guarantees, long nowMillis) {
      this.demand = demand;
      this.guarantees = guarantees;
      this.nowMillis = nowMillis;
    }

    /** Takes the cheapest options of a group until each task has a worker or no option is left. */
    void fill(FreeCapacityIndex.WorkerGroup group) {
      Resources all = times(demand.spec().task(), demand.tasks().size());
      state.examined(1);
      if (!all.fitsIn(group.capacity())) {
        isTooLarge = true;
        return;
      }
      int number = 0;
      for (WorkerSession worker : group.members()) {
        state.examined(1);
        if (placer.isUsable(worker, demand, nowMillis)) {
          updateOption(worker, number);
          number++;
        }
      }
      while (!isComplete() && !byCost.isEmpty()) {
        PreemptionOption option = byCost.poll();
        if (options.get(option.worker()) == option) {
          take(option);
        }
      }
    }

    /** Returns an upper bound of the number of tasks for which the group can provide capacity. */
    int maxFittingTasks() {
      return isTooLarge ? demand.tasks().size() - 1 : workers.size();
    }

    boolean isComplete() {
      return workers.size() == demand.tasks().size();
    }

    Reservation reservation(boolean isLocal) {
      Set<RunId> victimIds = new LinkedHashSet<>();
      victims.forEach(victim -> victimIds.add(victim.id));
      long until =
          nowMillis + 2 * state.settings.stopTimeoutMillis() + state.settings.pollWaitMillis();
      return new Reservation(demand, workers, victimIds, cost, isLocal, until);
    }

    /** Takes an option and updates the options of the workers that it affects. */
    private void take(PreemptionOption option) {
      Set<WorkerSession> affected = new LinkedHashSet<>();
      affected.add(option.worker());
      for (RunState victim : option.victims()) {
        if (victims.add(victim)) {
          freed.merge(victim.worker, victim.spec.task(), Resources::plus);
          affected.add(victim.worker);
        }
      }
      counts.merge(option.worker(), 1, Integer::sum);
      workers.add(option.worker());
      cost += option.cost();
      state.examined(affected.size());
      for (WorkerSession worker : affected) {
        PreemptionOption before = options.get(worker);
        if (before != null) {
          updateOption(worker, before.number());
        }
      }
    }

    private void updateOption(WorkerSession worker, int number) {
      PreemptionOption option = optionFor(worker, number);
      if (option == null) {
        options.remove(worker);
      } else {
        options.put(worker, option);
        byCost.add(option);
      }
    }

    /** Returns an option that fits one more task on a worker; null if there is none. */
    private PreemptionOption optionFor(WorkerSession worker, int number) {
      StepSpec spec = demand.spec();
      int before = counts.getOrDefault(worker, 0);
      boolean isAtLimit = spec.maxPerWorker() > 0 && isAtLimit(worker, before);
      Resources need = times(spec.task(), before + 1);
      Set<RunState> addedVictims = new LinkedHashSet<>();
      double addedCost = isAtLimit ? Double.NaN : selectVictims(worker, need, addedVictims);
      if (Double.isNaN(addedCost)) {
        return null;
      }
      boolean isRemote = Placer.isRemoteFromData(spec, worker);
      double spare = worker.free().accelerators() / 1_000.0;
      return new PreemptionOption(
          worker, number, addedVictims, addedCost + (isRemote ? REMOTE_COST : 0) + spare);
    }

    private boolean isAtLimit(WorkerSession worker, int before) {
      return worker.tasksOf(demand.key()) + before >= demand.spec().maxPerWorker();
    }

    /**
     * Collects the runs to stop; returns their cost in core-seconds, or NaN if stopping them is not
     * enough.
     */
    private double selectVictims(WorkerSession worker, Resources need, Set<RunState> addedVictims) {
      Resources released = freed.getOrDefault(worker, Resources.NONE);
      if (worker.fitsWithout(need, released)) {
        return 0;
      }
      PreemptionCosts.WorkerCosts workerCosts = costs.ofWorker(worker, nowMillis);
      Resources preemptible =
          guarantees.isWithinGuarantee ? workerCosts.used() : workerCosts.usedByNonUrgent();
      if (!worker.fitsWithout(need, released.plus(preemptible))) {
        return Double.NaN;
      }
      double addedCost = 0;
      for (PreemptionCosts.Victim victim : workerCosts.byCost()) {
        state.examined(1);
        boolean isStoppable = victim.isStoppable(nowMillis) && !victims.contains(victim.run());
        if (!isStoppable || addedVictims.contains(victim.run()) || !guarantees.mayPreempt(victim)) {
          continue;
        }
        addedCost += victim.cost();
        for (RunState run : victim.stoppedTogether()) {
          boolean isNew = !victims.contains(run) && addedVictims.add(run);
          if (isNew && run.worker == worker) {
            released = released.plus(run.spec.task());
          }
        }
        if (worker.fitsWithout(need, released)) {
          return addedCost;
        }
      }
      return Double.NaN;
    }
  }

  /**
   * Decides which runs may be preempted for a demand, by priority and by the customers' guarantees.
   */
  private final class Guarantees {

    private final CustomerId claimant;
    private final boolean isWithinGuarantee;

    Guarantees(Demand demand) {
      this.claimant = demand.job().job().customer();
      int requested = demand.spec().task().accelerators() * demand.tasks().size();
      int guaranteed =
          claimant == null ? 0 : state.ledger.configuration().guaranteedAccelerators(claimant);
      this.isWithinGuarantee = state.urgentUsage.acceleratorsOf(claimant) + requested <= guaranteed;
    }

    boolean mayPreempt(PreemptionCosts.Victim victim) {
      if (!victim.isUrgent()) {
        return true;
      }
      CustomerId owner = victim.run().job.job().customer();
      if (!isWithinGuarantee || owner == null || owner.equals(claimant)) {
        return false;
      }
      // A customer that exceeds its guarantee has borrowed capacity; none of its runs is protected.
      return state.urgentUsage.acceleratorsOf(owner)
          > state.ledger.configuration().guaranteedAccelerators(owner);
    }
  }
}
