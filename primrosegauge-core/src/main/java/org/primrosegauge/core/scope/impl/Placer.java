package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.WorkerKey;

/**
 * Finds workers with free capacity for the tasks of a step.
 *
 * <p>Uses best fit to limit fragmentation: a task is placed where it leaves the fewest accelerators
 * free, so that whole workers stay free for wide tasks. A gang that prefers a single rack is placed
 * on the fullest rack that can hold it.
 *
 * <p>Examines the workers that may have capacity, in order, until each task has one.
 */
final class Placer {

  /**
   * Workers found for a step.
   *
   * @param workers workers in the order of the demand's tasks; for a gang, for all tasks or none
   * @param hindrance why not all tasks have a worker; of no meaning if they have
   */
  record Fit(List<WorkerSession> workers, WaitReason hindrance) {

    static final Fit NONE = new Fit(List.of(), WaitReason.CAPACITY);
  }

  private final ScopeState state;
  private final FreeCapacityIndex capacityIndex;
  private final BackfillReservations backfillReservations;
  private final Headroom headroom;

  Placer(
      ScopeState state,
      FreeCapacityIndex capacityIndex,
      BackfillReservations backfillReservations,
      Headroom headroom) {
    this.state = state;
    this.capacityIndex = capacityIndex;
    this.backfillReservations = backfillReservations;
    this.headroom = headroom;
  }

  /**
   * Finds workers for tasks that can start now, local to each other and to their data.
   *
   * @param isOverdue whether workers that are reserved or withheld for other steps may be used
   */
  Fit placeLocal(Demand demand, boolean isOverdue, ClockReading now) {
    int taskCount = demand.tasks().size();
    Resources task = demand.spec().task();
    boolean isGang = demand.spec().gang();
    Fit best = Fit.NONE;
    for (FreeCapacityIndex.WorkerGroup group : localityGroups(demand)) {
      state.examined(1);
      if (!group.mayFit(task, isGang ? taskCount : 1)) {
        continue;
      }
      Packing packing = new Packing(demand, isOverdue, now);
      packing.scan(group, false);
      packing.takeBelowRank(Packing.RANK_LIMIT);
      if (packing.found.size() == taskCount) {
        return packing.fit();
      }
      boolean isBetter =
          packing.found.size() > best.workers().size()
              || packing.hindrance != WaitReason.CAPACITY && best.workers().isEmpty();
      best = isBetter ? packing.fit() : best;
    }
    return best;
  }

  /**
   * Finds workers for tasks that can start now, regardless of locality.
   *
   * @param isOverdue whether workers that are reserved or withheld for other steps may be used
   */
  Fit placeAnywhere(Demand demand, boolean isOverdue, ClockReading now) {
    StepSpec spec = demand.spec();
    FreeCapacityIndex.WorkerGroup all = matchingWorkers(demand);
    if (!all.mayFit(spec.task(), spec.gang() ? demand.tasks().size() : 1)) {
      return Fit.NONE;
    }
    Packing packing = new Packing(demand, isOverdue, now);
    if (!spec.dataRack().isEmpty()) {
      packing.scan(
          capacityIndex.rack(poolOf(demand), spec.requiredLabel(), spec.dataRack()), false);
      packing.takeBelowRank(Packing.REMOTE);
    }
    packing.scan(all, !spec.dataRack().isEmpty());
    packing.takeBelowRank(Packing.RANK_LIMIT);
    return packing.fit();
  }

  /** Returns the workers that have the label required by a demand, regardless of locality. */
  FreeCapacityIndex.WorkerGroup matchingWorkers(Demand demand) {
    return capacityIndex.workers(poolOf(demand), demand.spec().requiredLabel());
  }

  /**
   * Returns the groups of workers that satisfy the locality preference of a demand, the fullest
   * first. A group may be too small for the step even when it is empty.
   */
  List<FreeCapacityIndex.WorkerGroup> localityGroups(Demand demand) {
    StepSpec spec = demand.spec();
    if (!spec.dataRack().isEmpty()) {
      return List.of(capacityIndex.rack(poolOf(demand), spec.requiredLabel(), spec.dataRack()));
    }
    return spec.rackLocal()
        ? capacityIndex.racks(poolOf(demand), spec.requiredLabel())
        : List.of(matchingWorkers(demand));
  }

  /**
   * Returns the usable workers of each locality group of a gang. A group may be too small for the
   * gang.
   */
  List<List<WorkerSession>> localWorkers(Demand gang, long nowMillis) {
    List<List<WorkerSession>> found = new ArrayList<>();
    for (FreeCapacityIndex.WorkerGroup group : localityGroups(gang)) {
      state.examined(group.size());
      List<WorkerSession> usable =
          group.members().stream().filter(worker -> isUsable(worker, gang, nowMillis)).toList();
      found.add(usable);
    }
    return found;
  }

  /**
   * Tells whether the locality preference of a demand could be satisfied if all workers were empty.
   */
  boolean canBeLocal(Demand demand, long nowMillis) {
    return demand
        .stepWait()
        .canBeLocal(
            capacityIndex.version(),
            () ->
                localityGroups(demand).stream()
                    .anyMatch(group -> canHoldWhenEmpty(group, demand, nowMillis)));
  }

  /**
   * Tells whether a group could hold all tasks of a gang, or one task of any other step, if its
   * workers were empty.
   */
  boolean canHoldWhenEmpty(FreeCapacityIndex.WorkerGroup group, Demand demand, long nowMillis) {
    StepSpec spec = demand.spec();
    int taskCount = spec.gang() ? demand.tasks().size() : 1;
    if (!Preemptor.times(spec.task(), taskCount).fitsIn(group.capacity())) {
      return false;
    }
    long capacity = 0;
    for (WorkerSession worker : group.members()) {
      state.examined(1);
      capacity += isUsable(worker, demand, nowMillis) ? taskCapacity(spec, worker) : 0;
      if (capacity >= taskCount) {
        return true;
      }
    }
    return false;
  }

  /** Tells whether a worker may run a task of the step at all, regardless of its free capacity. */
  boolean isUsable(WorkerSession worker, Demand demand, long nowMillis) {
    StepSpec spec = demand.spec();
    return worker.info.pool().equals(poolOf(demand))
        && capacityIndex.isSchedulable(worker, nowMillis)
        && spec.task().fitsIn(worker.info.capacity())
        && (spec.requiredLabel().isEmpty() || worker.info.labels().contains(spec.requiredLabel()));
  }

  private static ServiceId poolOf(Demand demand) {
    return demand.job().job().pool();
  }

  private static long taskCapacity(StepSpec spec, WorkerSession worker) {
    Resources all = worker.info.capacity();
    Resources task = spec.task();
    long limit = spec.maxPerWorker() == 0 ? spec.count() : spec.maxPerWorker();
    limit = Math.min(limit, all.milliCores() / Math.max(1, task.milliCores()));
    limit = Math.min(limit, all.memoryMib() / Math.max(1, task.memoryMib()));
    return task.accelerators() == 0
        ? limit
        : Math.min(limit, all.accelerators() / task.accelerators());
  }

  static boolean isRemoteFromData(StepSpec spec, WorkerSession worker) {
    return !spec.dataRack().isEmpty() && !spec.dataRack().equals(worker.info.rack());
  }

  /** Assigns tasks to workers one after the other, those with the least free capacity first. */
  private final class Packing {

    /** Penalties that add up to the rank of a worker; a lower rank is better. */
    private static final int HAS_FAILURES = 1;

    private static final int REMOTE = 2;
    private static final int STEP_FAILED = 4;
    private static final int RANK_LIMIT = 8;

    private record RankedWorker(WorkerSession worker, int rank) {}

    private final Demand demand;
    private final boolean isOverdue;
    private final ClockReading now;
    private final Set<WorkerKey> failedForStep;
    private final List<WorkerSession> found = new ArrayList<>();
    private WaitReason hindrance = WaitReason.CAPACITY;
    private final List<RankedWorker> lowerRanked = new ArrayList<>();

    Packing(Demand demand, boolean isOverdue, ClockReading now) {
      this.demand = demand;
      this.isOverdue = isOverdue;
      this.now = now;
      this.failedForStep = state.failedWorkers.getOrDefault(demand.key(), Set.of());
    }

    /**
     * Assigns tasks to the workers of the best rank and collects the others in {@code lowerRanked}.
     */
    void scan(FreeCapacityIndex.WorkerGroup group, boolean isRemoteOnly) {
      FreeCapacityIndex.Candidates candidates = group.candidates(demand.spec().task());
      int best = isRemoteOnly ? REMOTE : 0;
      while (!isComplete()) {
        WorkerSession worker = candidates.next();
        if (worker == null) {
          break;
        }
        boolean isRemote = isRemoteFromData(demand.spec(), worker);
        if (isRemoteOnly && !isRemote || !isEligible(worker)) {
          continue;
        }
        int rank = rankOf(worker, isRemote);
        if (rank == best) {
          take(worker);
        } else {
          lowerRanked.add(new RankedWorker(worker, rank));
        }
      }
      state.examined(candidates.visited());
    }

    /** Assigns tasks to the collected workers whose rank is below a limit, the best rank first. */
    void takeBelowRank(int rankLimit) {
      lowerRanked.sort(Comparator.comparingInt(RankedWorker::rank));
      while (!lowerRanked.isEmpty() && lowerRanked.get(0).rank() < rankLimit && !isComplete()) {
        take(lowerRanked.remove(0).worker());
      }
    }

    /** Returns what was found; for a gang that is incomplete, no workers. */
    Fit fit() {
      boolean isUsable = isComplete() || !demand.spec().gang();
      return new Fit(isUsable ? found : List.of(), hindrance);
    }

    private boolean isComplete() {
      return found.size() == demand.tasks().size();
    }

    private boolean isEligible(WorkerSession worker) {
      return worker.fits(demand.spec().task())
          && isUsable(worker, demand, now.monotonicMillis())
          && (isOverdue || !isWithheld(worker));
    }

    private boolean isWithheld(WorkerSession worker) {
      if (backfillReservations.withholds(demand, worker, now.monotonicMillis())) {
        hindrance = WaitReason.RESERVED;
        return true;
      }
      if (headroom.withholds(demand, worker, now)) {
        hindrance = WaitReason.HEADROOM;
        return true;
      }
      return false;
    }

    private int rankOf(WorkerSession worker, boolean isRemote) {
      int rank = failedForStep.contains(worker.info.key()) ? STEP_FAILED : 0;
      rank += isRemote ? REMOTE : 0;
      return rank + (worker.hasFailures() ? HAS_FAILURES : 0);
    }

    private void take(WorkerSession worker) {
      StepSpec spec = demand.spec();
      Resources free = worker.free();
      int limit = spec.maxPerWorker() == 0 ? Integer.MAX_VALUE : spec.maxPerWorker();
      int count = spec.maxPerWorker() == 0 ? 0 : (int) worker.tasksOf(demand.key());
      while (!isComplete() && count < limit && spec.task().fitsIn(free)) {
        free = free.minus(spec.task());
        count++;
        found.add(worker);
      }
    }
  }
}
