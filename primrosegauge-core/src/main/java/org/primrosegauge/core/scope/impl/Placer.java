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
 * Finds workers with free room for the tasks of a step.
 *
 * <p>Answers fragmentation: a task goes where it leaves the fewest accelerators free, so that whole
 * workers stay free for wide tasks. A gang that is faster on one rack goes to the fullest rack that
 * holds it.
 *
 * <p>Looks at the workers that may have room, in their order, until all tasks have theirs.
 */
final class Placer {

  private final ScopeState state;
  private final FreeCapacityIndex capacityIndex;
  private final BackfillReservations backfillReservations;
  private final Headroom headroom;

  Placer(
      ScopeState state,
      FreeCapacityIndex index,
      BackfillReservations backfillReservations,
      Headroom headroom) {
    this.state = state;
    this.capacityIndex = index;
    this.backfillReservations = backfillReservations;
    this.headroom = headroom;
  }

  /**
   * Returns workers for tasks that can start now near to each other and to their data, in the order
   * of the demand's tasks. For a gang, all tasks or none.
   *
   * @param isOverdue whether workers that are kept free for others may be taken
   */
  List<WorkerSession> placeLocal(Demand demand, boolean isOverdue, ClockReading now) {
    int wanted = demand.tasks().size();
    Resources task = demand.spec().task();
    boolean isGang = demand.spec().gang();
    List<WorkerSession> most = List.of();
    for (FreeCapacityIndex.WorkerGroup group : localityGroups(demand)) {
      state.examined(1);
      if (!group.mayFit(task, isGang ? wanted : 1)) {
        continue;
      }
      Packing filling = new Packing(demand, isOverdue, now);
      filling.scan(group, false);
      filling.takeBelowRank(Packing.RANK_LIMIT);
      if (filling.found.size() == wanted) {
        return filling.found;
      }
      most = filling.found.size() > most.size() ? filling.found : most;
    }
    return isGang ? List.of() : most;
  }

  /**
   * Returns workers for tasks that can start now, wherever, in the order of the demand's tasks. For
   * a gang, all tasks or none.
   *
   * @param isOverdue whether workers that are kept free for others may be taken
   */
  List<WorkerSession> placeAnywhere(Demand demand, boolean isOverdue, ClockReading now) {
    StepSpec spec = demand.spec();
    FreeCapacityIndex.WorkerGroup all = matchingWorkers(demand);
    if (!all.mayFit(spec.task(), spec.gang() ? demand.tasks().size() : 1)) {
      return List.of();
    }
    Packing filling = new Packing(demand, isOverdue, now);
    if (!spec.dataRack().isEmpty()) {
      filling.scan(
          capacityIndex.rack(poolOf(demand), spec.requiredLabel(), spec.dataRack()), false);
      filling.takeBelowRank(Packing.REMOTE);
    }
    filling.scan(all, !spec.dataRack().isEmpty());
    filling.takeBelowRank(Packing.RANK_LIMIT);
    boolean isPartial = filling.found.size() < demand.tasks().size();
    return spec.gang() && isPartial ? List.of() : filling.found;
  }

  /** Returns the workers that have the label that a demand asks for, wherever. */
  FreeCapacityIndex.WorkerGroup matchingWorkers(Demand demand) {
    return capacityIndex.workers(poolOf(demand), demand.spec().requiredLabel());
  }

  /**
   * Returns the groups of workers on which the tasks are near to each other and to their data, the
   * fullest first. Some may be too small for the step even when empty.
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

  /** Returns the usable workers of each near group that would hold a gang if it were empty. */
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

  /** Tells whether the tasks would be near to each other and to their data on empty workers. */
  boolean canBeLocal(Demand demand, long nowMillis) {
    return demand
        .stepWait()
        .canBeLocal(
            capacityIndex.version(),
            () ->
                localityGroups(demand).stream()
                    .anyMatch(group -> canHoldWhenEmpty(group, demand, nowMillis)));
  }

  /** Tells whether a group of empty workers holds all of a gang, or one task of another step. */
  boolean canHoldWhenEmpty(FreeCapacityIndex.WorkerGroup group, Demand demand, long nowMillis) {
    StepSpec spec = demand.spec();
    int wanted = spec.gang() ? demand.tasks().size() : 1;
    if (!Preemptor.times(spec.task(), wanted).fitsIn(group.capacity())) {
      return false;
    }
    long held = 0;
    for (WorkerSession worker : group.members()) {
      state.examined(1);
      held += isUsable(worker, demand, nowMillis) ? taskCapacity(spec, worker) : 0;
      if (held >= wanted) {
        return true;
      }
    }
    return false;
  }

  /** Tells whether a worker may take a task of the step at all, whether it has room or not. */
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
    long most = spec.maxPerWorker() == 0 ? spec.count() : spec.maxPerWorker();
    most = Math.min(most, all.milliCores() / Math.max(1, task.milliCores()));
    most = Math.min(most, all.memoryMib() / Math.max(1, task.memoryMib()));
    return task.accelerators() == 0
        ? most
        : Math.min(most, all.accelerators() / task.accelerators());
  }

  static boolean isRemoteFromData(StepSpec spec, WorkerSession worker) {
    return !spec.dataRack().isEmpty() && !spec.dataRack().equals(worker.info.rack());
  }

  /** Fills workers one after the other, the tightest first. */
  private final class Packing {

    /** Ranks of workers, the best first; a rank is a sum of these. */
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
    private final List<RankedWorker> lowerRanked = new ArrayList<>();

    Packing(Demand demand, boolean isOverdue, ClockReading now) {
      this.demand = demand;
      this.isOverdue = isOverdue;
      this.now = now;
      this.failedForStep = state.failedWorkers.getOrDefault(demand.key(), Set.of());
    }

    /** Takes the workers of the best rank and notes the others. */
    void scan(FreeCapacityIndex.WorkerGroup group, boolean isFarOnly) {
      FreeCapacityIndex.Candidates candidates = group.candidates(demand.spec().task());
      int best = isFarOnly ? REMOTE : 0;
      while (!isComplete()) {
        WorkerSession worker = candidates.next();
        if (worker == null) {
          break;
        }
        boolean isFar = isRemoteFromData(demand.spec(), worker);
        if (isFarOnly && !isFar || !isEligible(worker)) {
          continue;
        }
        int rank = rankOf(worker, isFar);
        if (rank == best) {
          take(worker);
        } else {
          lowerRanked.add(new RankedWorker(worker, rank));
        }
      }
      state.examined(candidates.visited());
    }

    /** Takes workers below a rank that were not taken yet, the best first. */
    void takeBelowRank(int below) {
      lowerRanked.sort(Comparator.comparingInt(RankedWorker::rank));
      while (!lowerRanked.isEmpty() && lowerRanked.get(0).rank() < below && !isComplete()) {
        take(lowerRanked.remove(0).worker());
      }
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
      return backfillReservations.withholds(demand, worker, now.monotonicMillis())
          || headroom.withholds(demand, worker, now);
    }

    private int rankOf(WorkerSession worker, boolean isFar) {
      int rank = failedForStep.contains(worker.info.key()) ? STEP_FAILED : 0;
      rank += isFar ? REMOTE : 0;
      return rank + (worker.consecutiveFailures() > 0 ? HAS_FAILURES : 0);
    }

    private void take(WorkerSession worker) {
      StepSpec spec = demand.spec();
      Resources room = worker.free();
      int most = spec.maxPerWorker() == 0 ? Integer.MAX_VALUE : spec.maxPerWorker();
      int count = spec.maxPerWorker() == 0 ? 0 : (int) worker.tasksOf(demand.key());
      while (!isComplete() && count < most && spec.task().fitsIn(room)) {
        room = room.minus(spec.task());
        count++;
        found.add(worker);
      }
    }
  }
}
