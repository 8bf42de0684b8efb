package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.primrosegauge.core.job.Resources;
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

  Placer(ScopeState state) {
    this.state = state;
  }

  /**
   * Returns a worker for each task that can start now, in the order of the demand's tasks. For a
   * gang, all tasks or none.
   */
  List<WorkerSession> place(Demand demand, long nowMillis) {
    List<WorkerSession> usable = usable(demand, nowMillis);
    int wanted = demand.tasks().size();
    if (demand.spec().rackLocal()) {
      Optional<List<WorkerSession>> rack = placeOnOneRack(demand, usable, wanted);
      if (rack.isPresent()) {
        return rack.get();
      }
    }
    List<WorkerSession> found = fill(demand, usable, wanted);
    return demand.spec().gang() && found.size() < wanted ? List.of() : found;
  }

  /** Returns the workers that may take a task of the step at all, whether they have room or not. */
  List<WorkerSession> usable(Demand demand, long nowMillis) {
    return state.sessions.values().stream()
        .filter(worker -> isUsable(worker, demand, nowMillis))
        .toList();
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

  private Optional<List<WorkerSession>> placeOnOneRack(
      Demand demand, List<WorkerSession> usable, int wanted) {
    Map<String, List<WorkerSession>> racks = new LinkedHashMap<>();
    for (WorkerSession worker : usable) {
      racks.computeIfAbsent(worker.info.rack(), rack -> new ArrayList<>()).add(worker);
    }
    return racks.entrySet().stream()
        .sorted(
            Comparator.comparing(
                    (Map.Entry<String, List<WorkerSession>> rack) ->
                        !rack.getKey().equals(demand.spec().dataRack()))
                .thenComparing(rack -> freeAccelerators(rack.getValue())))
        .map(rack -> fill(demand, rack.getValue(), wanted))
        .filter(found -> found.size() == wanted)
        .findFirst();
  }

  private static int freeAccelerators(List<WorkerSession> workers) {
    return workers.stream().mapToInt(worker -> worker.free().accelerators()).sum();
  }

  /** Fills workers one after the other, the tightest first. */
  private List<WorkerSession> fill(Demand demand, List<WorkerSession> usable, int wanted) {
    Map<WorkerSession, Resources> rooms = new HashMap<>();
    Map<WorkerSession, Integer> counts = new HashMap<>();
    List<WorkerSession> candidates = new ArrayList<>();
    for (WorkerSession worker : usable) {
      if (worker.fits(demand.spec().task())) {
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
