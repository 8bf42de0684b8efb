package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.Placement;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeEvent;
import org.primrosegauge.core.scope.ScopeEvent.Kind;

/**
 * Placements of one planning pass, which are proposed to the log together.
 *
 * <p>Not thread-safe. Empty again once it has been proposed.
 */
final class PlacementBatch {

  /** Time that a worker may take for each start of a batch, in milliseconds. */
  private static final long START_PACE_MILLIS = 12;

  private final ScopeState state;
  private final List<Placement> placements = new ArrayList<>();
  private final Map<WorkerSession, Integer> startsByWorker = new HashMap<>();

  PlacementBatch(ScopeState state) {
    this.state = state;
  }

  /**
   * Places tasks of a step.
   *
   * @param workers one worker for each task, in the order of the demand's tasks; may be fewer
   */
  void place(Demand demand, List<WorkerSession> workers, ClockReading now) {
    boolean isLocal = isLocal(demand, workers);
    for (int i = 0; i < workers.size(); i++) {
      add(demand, demand.tasks().get(i), workers.get(i), isLocal, now);
    }
    report(demand, workers);
  }

  /**
   * Places those tasks of a step for which their workers have enough free capacity; the tasks of a
   * gang only if all have.
   *
   * @param workers one worker for each task, in the order of the demand's tasks
   */
  void placeFitting(Demand demand, List<WorkerSession> workers, ClockReading now) {
    boolean isLocal = isLocal(demand, workers);
    List<RunState> added = new ArrayList<>();
    for (int i = 0; i < workers.size(); i++) {
      if (workers.get(i).fits(demand.spec().task())) {
        added.add(add(demand, demand.tasks().get(i), workers.get(i), isLocal, now));
      }
    }
    boolean isPartial = demand.spec().gang() && added.size() < workers.size();
    if (isPartial) {
      added.forEach(this::rollBack);
    } else {
      report(demand, workers);
    }
  }

  /** Proposes the placements, if there are any. */
  void propose() {
    if (!placements.isEmpty()) {
      state.propose(new ScopeCommand.Place(List.copyOf(placements)));
      placements.clear();
    }
    startsByWorker.clear();
  }

  private RunState add(
      Demand demand, int index, WorkerSession worker, boolean isLocal, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    RunId id = new RunId(demand.key().task(index), demand.nextAttempt(index));
    RunState run =
        new RunState(
            id,
            worker,
            demand.job(),
            demand.spec(),
            demand.expectedMillis(),
            RunState.Phase.PROPOSED,
            nowMillis);
    run.isObservable = isLocal && isFresh(demand, index);
    run.startDeadline = worker.clockAt(nowMillis) + startWindowMillis(worker);
    state.addProposed(run);
    placements.add(new Placement(id, worker.info.key()));
    return run;
  }

  /**
   * Returns the time within which the next start on a worker has to arrive, in milliseconds. The
   * starts of one batch follow each other as fast as their worker responds.
   */
  private long startWindowMillis(WorkerSession worker) {
    int position = startsByWorker.merge(worker, 1, Integer::sum);
    long windowMillis = state.settings.startWindowMillis() + position * START_PACE_MILLIS;
    return Math.min(windowMillis, state.settings.leaseMillis());
  }

  private void rollBack(RunState run) {
    placements.removeIf(placement -> placement.run().equals(run.id));
    state.removeProposed(run.id);
    state.remove(run);
  }

  /** Tells whether workers satisfy the locality preference of a step. */
  private static boolean isLocal(Demand demand, List<WorkerSession> workers) {
    boolean isNearData =
        workers.stream().noneMatch(worker -> Placer.isRemoteFromData(demand.spec(), worker));
    return isNearData && (countRacks(workers) <= 1 || !demand.spec().rackLocal());
  }

  private static boolean isFresh(Demand demand, int index) {
    return demand.record().task(index).checkpoint().isEmpty();
  }

  private static long countRacks(List<WorkerSession> workers) {
    return workers.stream().map(worker -> worker.info.rack()).distinct().count();
  }

  private void report(Demand demand, List<WorkerSession> workers) {
    state.report(
        ScopeEvent.of(
            Kind.PLACED,
            demand.key(),
            "tasks="
                + workers.size()
                + " of="
                + demand.tasks().size()
                + " racks="
                + countRacks(workers)
                + " lateness="
                + demand.lateness()));
  }
}
