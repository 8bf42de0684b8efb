package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.Present;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.WorkerKey;

/**
 * Finds workers with free room for the tasks of a step.
 *
 * <p>Answers fragmentation: a task goes where it leaves the fewest accelerators free, so that whole
 * workers stay free for wide tasks. A gang that is faster on one rack goes to the fullest rack that
 * holds it.
 */
final class Placer {

  private final ScopeState state;
  private final GangHolds holds;
  private final Headroom headroom;

  Placer(ScopeState state, GangHolds holds, Headroom headroom) {
    this.state = state;
    this.holds = holds;
    this.headroom = headroom;
  }

  /**
   * Returns workers for tasks that can start now near to each other and to their data, in the order
   * of the demand's tasks. For a gang, all tasks or none.
   */
  List<WorkerSession> placeNear(Demand demand, Present present) {
    int wanted = demand.tasks().size();
    List<WorkerSession> most = List.of();
    for (List<WorkerSession> group : nearGroups(demand, present.millis())) {
      List<WorkerSession> found = fill(demand, group, wanted, present);
      if (found.size() == wanted) {
        return found;
      }
      most = found.size() > most.size() ? found : most;
    }
    return demand.spec().gang() ? List.of() : most;
  }

  /**
   * Returns workers for tasks that can start now, wherever, in the order of the demand's tasks. For
   * a gang, all tasks or none.
   */
  List<WorkerSession> placeAnywhere(Demand demand, Present present) {
    int wanted = demand.tasks().size();
    List<WorkerSession> found = fill(demand, usable(demand, present.millis()), wanted, present);
    return demand.spec().gang() && found.size() < wanted ? List.of() : found;
  }

  /**
   * Returns the groups of workers on which the tasks are near to each other and to their data, the
   * fullest first. Groups that could not hold the step even when empty are left out.
   */
  List<List<WorkerSession>> nearGroups(Demand demand, long nowMillis) {
    StepSpec spec = demand.spec();
    List<WorkerSession> usable = usable(demand, nowMillis);
    if (!spec.rackLocal() && spec.dataRack().isEmpty()) {
      return List.of(usable);
    }
    Map<String, List<WorkerSession>> racks = new LinkedHashMap<>();
    for (WorkerSession worker : usable) {
      if (!isFarFromData(spec, worker)) {
        racks.computeIfAbsent(worker.info.rack(), rack -> new ArrayList<>()).add(worker);
      }
    }
    boolean needsAll = spec.gang();
    return racks.values().stream()
        .filter(rack -> !needsAll || capacityFor(spec, rack) >= demand.tasks().size())
        .sorted(Comparator.comparing(Placer::freeAccelerators))
        .toList();
  }

  /** Returns how many tasks of a step empty workers hold. */
  private static long capacityFor(StepSpec spec, List<WorkerSession> workers) {
    return workers.stream().mapToLong(worker -> capacityFor(spec, worker)).sum();
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

  /** Returns the workers that may take a task of the step at all, whether they have room or not. */
  List<WorkerSession> usable(Demand demand, long nowMillis) {
    state.examined(state.sessions.size());
    return state.sessions.values().stream()
        .filter(worker -> isUsable(worker, demand, nowMillis))
        .toList();
  }

  /** Returns the workers that may get something new. */
  List<WorkerSession> open(long nowMillis) {
    state.examined(state.sessions.size());
    return state.sessions.values().stream().filter(worker -> isOpen(worker, nowMillis)).toList();
  }

  private boolean isUsable(WorkerSession worker, Demand demand, long nowMillis) {
    StepSpec spec = demand.spec();
    return worker.info.pool().equals(demand.job().job().pool())
        && isOpen(worker, nowMillis)
        && spec.task().fitsIn(worker.info.capacity())
        && (spec.requiredLabel().isEmpty() || worker.info.labels().contains(spec.requiredLabel()));
  }

  private boolean isOpen(WorkerSession worker, long nowMillis) {
    return worker.knowsClock()
        && !worker.draining
        && !worker.left
        && worker.lookFailures == 0
        && nowMillis >= worker.asideUntilMillis
        && !worker.isSilent(nowMillis, state.settings.silenceMillis())
        && !state.ledger.domainsOut().contains(worker.info.domain());
  }

  private static int freeAccelerators(List<WorkerSession> workers) {
    return workers.stream().mapToInt(worker -> worker.free().accelerators()).sum();
  }

  /** Fills workers one after the other, the tightest first. */
  private List<WorkerSession> fill(
      Demand demand, List<WorkerSession> usable, int wanted, Present present) {
    Map<WorkerSession, Resources> rooms = new HashMap<>();
    Map<WorkerSession, Integer> counts = new HashMap<>();
    List<WorkerSession> candidates = new ArrayList<>();
    state.examined(usable.size());
    for (WorkerSession worker : usable) {
      if (worker.fits(demand.spec().task()) && !isKeptFrom(demand, worker, present)) {
        rooms.put(worker, worker.free());
        counts.put(worker, (int) worker.tasksOf(demand.key()));
        candidates.add(worker);
      }
    }
    Set<WorkerKey> failed = state.failedOn.getOrDefault(demand.key(), Set.of());
    candidates.sort(
        Comparator.comparing((WorkerSession worker) -> failed.contains(worker.info.key()))
            .thenComparing(worker -> isFarFromData(demand.spec(), worker))
            .thenComparing(worker -> worker.failures() > 0)
            .thenComparingInt(worker -> rooms.get(worker).accelerators())
            .thenComparingLong(worker -> rooms.get(worker).milliCores()));
    List<WorkerSession> found = new ArrayList<>();
    for (WorkerSession worker : candidates) {
      while (found.size() < wanted && takes(demand.spec(), worker, rooms, counts)) {
        rooms.merge(worker, demand.spec().task(), Resources::minus);
        counts.merge(worker, 1, Integer::sum);
        found.add(worker);
      }
    }
    return found;
  }

  private boolean isKeptFrom(Demand demand, WorkerSession worker, Present present) {
    return holds.keepsFrom(demand, worker, present.millis())
        || headroom.keepsFrom(demand, worker, present);
  }

  private static boolean takes(
      StepSpec spec,
      WorkerSession worker,
      Map<WorkerSession, Resources> rooms,
      Map<WorkerSession, Integer> counts) {
    boolean isBelowLimit = spec.maxPerWorker() == 0 || counts.get(worker) < spec.maxPerWorker();
    return isBelowLimit && spec.task().fitsIn(rooms.get(worker));
  }

  static boolean isFarFromData(StepSpec spec, WorkerSession worker) {
    return !spec.dataRack().isEmpty() && !spec.dataRack().equals(worker.info.rack());
  }
}
