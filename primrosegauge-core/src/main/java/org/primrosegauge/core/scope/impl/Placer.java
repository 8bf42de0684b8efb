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
  private final RoomIndex index;
  private final GangHolds holds;
  private final Headroom headroom;

  Placer(ScopeState state, RoomIndex index, GangHolds holds, Headroom headroom) {
    this.state = state;
    this.index = index;
    this.holds = holds;
    this.headroom = headroom;
  }

  /**
   * Returns workers for tasks that can start now near to each other and to their data, in the order
   * of the demand's tasks. For a gang, all tasks or none.
   *
   * @param isOverdue whether workers that are kept free for others may be taken
   */
  List<WorkerSession> placeNear(Demand demand, boolean isOverdue, ClockReading present) {
    int wanted = demand.tasks().size();
    Resources task = demand.spec().task();
    boolean isGang = demand.spec().gang();
    List<WorkerSession> most = List.of();
    for (RoomIndex.Group group : nearGroups(demand)) {
      state.examined(1);
      if (!group.mayHold(task, isGang ? wanted : 1)) {
        continue;
      }
      Filling filling = new Filling(demand, isOverdue, present);
      filling.scan(group, false);
      filling.takeOthers(Filling.WORST);
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
  List<WorkerSession> placeAnywhere(Demand demand, boolean isOverdue, ClockReading present) {
    StepSpec spec = demand.spec();
    RoomIndex.Group all = anywhere(demand);
    if (!all.mayHold(spec.task(), spec.gang() ? demand.tasks().size() : 1)) {
      return List.of();
    }
    Filling filling = new Filling(demand, isOverdue, present);
    if (!spec.dataRack().isEmpty()) {
      filling.scan(index.rack(poolOf(demand), spec.requiredLabel(), spec.dataRack()), false);
      filling.takeOthers(Filling.FAR);
    }
    filling.scan(all, !spec.dataRack().isEmpty());
    filling.takeOthers(Filling.WORST);
    boolean isPartial = filling.found.size() < demand.tasks().size();
    return spec.gang() && isPartial ? List.of() : filling.found;
  }

  /** Returns the workers that have the label that a demand asks for, wherever. */
  RoomIndex.Group anywhere(Demand demand) {
    return index.workers(poolOf(demand), demand.spec().requiredLabel());
  }

  /**
   * Returns the groups of workers on which the tasks are near to each other and to their data, the
   * fullest first. Some may be too small for the step even when empty.
   */
  List<RoomIndex.Group> nearGroups(Demand demand) {
    StepSpec spec = demand.spec();
    if (!spec.dataRack().isEmpty()) {
      return List.of(index.rack(poolOf(demand), spec.requiredLabel(), spec.dataRack()));
    }
    return spec.rackLocal()
        ? index.racks(poolOf(demand), spec.requiredLabel())
        : List.of(anywhere(demand));
  }

  /** Returns the usable workers of each near group that would hold a gang if it were empty. */
  List<List<WorkerSession>> workersNear(Demand gang, long nowMillis) {
    List<List<WorkerSession>> found = new ArrayList<>();
    for (RoomIndex.Group group : nearGroups(gang)) {
      state.examined(group.size());
      List<WorkerSession> usable =
          group.members().stream().filter(worker -> isUsable(worker, gang, nowMillis)).toList();
      found.add(usable);
    }
    return found;
  }

  /** Tells whether the tasks would be near to each other and to their data on empty workers. */
  boolean canBeNear(Demand demand, long nowMillis) {
    return demand
        .waited()
        .canBeNear(
            index.version(),
            () -> nearGroups(demand).stream().anyMatch(group -> holds(group, demand, nowMillis)));
  }

  /** Tells whether a group of empty workers holds all of a gang, or one task of another step. */
  boolean holds(RoomIndex.Group group, Demand demand, long nowMillis) {
    StepSpec spec = demand.spec();
    int wanted = spec.gang() ? demand.tasks().size() : 1;
    if (!RoomMaker.times(spec.task(), wanted).fitsIn(group.capacity())) {
      return false;
    }
    long held = 0;
    for (WorkerSession worker : group.members()) {
      state.examined(1);
      held += isUsable(worker, demand, nowMillis) ? capacityFor(spec, worker) : 0;
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
        && index.isOpen(worker, nowMillis)
        && spec.task().fitsIn(worker.info.capacity())
        && (spec.requiredLabel().isEmpty() || worker.info.labels().contains(spec.requiredLabel()));
  }

  private static ServiceId poolOf(Demand demand) {
    return demand.job().job().pool();
  }

  private static long capacityFor(StepSpec spec, WorkerSession worker) {
    Resources all = worker.info.capacity();
    Resources task = spec.task();
    long most = spec.maxPerWorker() == 0 ? spec.count() : spec.maxPerWorker();
    most = Math.min(most, all.milliCores() / Math.max(1, task.milliCores()));
    most = Math.min(most, all.memoryMib() / Math.max(1, task.memoryMib()));
    return task.accelerators() == 0
        ? most
        : Math.min(most, all.accelerators() / task.accelerators());
  }

  static boolean isFarFromData(StepSpec spec, WorkerSession worker) {
    return !spec.dataRack().isEmpty() && !spec.dataRack().equals(worker.info.rack());
  }

  /** Fills workers one after the other, the tightest first. */
  private final class Filling {

    /** Ranks of workers, the best first; a rank is a sum of these. */
    private static final int HAS_FAILURES = 1;

    private static final int FAR = 2;
    private static final int FAILED_ON = 4;
    private static final int WORST = 8;

    private record Ranked(WorkerSession worker, int rank) {}

    private final Demand demand;
    private final boolean isOverdue;
    private final ClockReading present;
    private final Set<WorkerKey> failed;
    private final List<WorkerSession> found = new ArrayList<>();
    private final List<Ranked> others = new ArrayList<>();

    Filling(Demand demand, boolean isOverdue, ClockReading present) {
      this.demand = demand;
      this.isOverdue = isOverdue;
      this.present = present;
      this.failed = state.failedOn.getOrDefault(demand.key(), Set.of());
    }

    /** Takes the workers of the best rank and notes the others. */
    void scan(RoomIndex.Group group, boolean isFarOnly) {
      RoomIndex.Candidates candidates = group.candidates(demand.spec().task());
      int best = isFarOnly ? FAR : 0;
      while (!isFull()) {
        WorkerSession worker = candidates.next();
        if (worker == null) {
          break;
        }
        boolean isFar = isFarFromData(demand.spec(), worker);
        if (isFarOnly && !isFar || !isTakeable(worker)) {
          continue;
        }
        int rank = rankOf(worker, isFar);
        if (rank == best) {
          take(worker);
        } else {
          others.add(new Ranked(worker, rank));
        }
      }
      state.examined(candidates.steps());
    }

    /** Takes workers below a rank that were not taken yet, the best first. */
    void takeOthers(int below) {
      others.sort(Comparator.comparingInt(Ranked::rank));
      while (!others.isEmpty() && others.get(0).rank() < below && !isFull()) {
        take(others.remove(0).worker());
      }
    }

    private boolean isFull() {
      return found.size() == demand.tasks().size();
    }

    private boolean isTakeable(WorkerSession worker) {
      return worker.fits(demand.spec().task())
          && isUsable(worker, demand, present.monotonicMillis())
          && (isOverdue || !isKept(worker));
    }

    private boolean isKept(WorkerSession worker) {
      return holds.keepsFrom(demand, worker, present.monotonicMillis())
          || headroom.keepsFrom(demand, worker, present);
    }

    private int rankOf(WorkerSession worker, boolean isFar) {
      int rank = failed.contains(worker.info.key()) ? FAILED_ON : 0;
      rank += isFar ? FAR : 0;
      return rank + (worker.failures() > 0 ? HAS_FAILURES : 0);
    }

    private void take(WorkerSession worker) {
      StepSpec spec = demand.spec();
      Resources room = worker.free();
      int most = spec.maxPerWorker() == 0 ? Integer.MAX_VALUE : spec.maxPerWorker();
      int count = spec.maxPerWorker() == 0 ? 0 : (int) worker.tasksOf(demand.key());
      while (!isFull() && count < most && spec.task().fitsIn(room)) {
        room = room.minus(spec.task());
        count++;
        found.add(worker);
      }
    }
  }
}
