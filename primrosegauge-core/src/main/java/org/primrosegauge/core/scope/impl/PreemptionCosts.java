package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.StepKey;

/**
 * Computes what preempting the runs of a worker costs, the cheapest runs first.
 *
 * <p>Results are cached across preemption attempts. Those of a worker are recomputed when its runs
 * have changed or after {@link #COST_TTL_MILLIS}.
 *
 * <p>Not thread-safe.
 */
final class PreemptionCosts {

  /**
   * Time that a run loses by being stopped and started again, in addition to its unsaved work, in
   * seconds.
   */
  private static final double RESTART_SECONDS = 0.6;

  /** Cost factor for gangs: a preempted gang has to acquire all its workers again. */
  private static final double GANG_FACTOR = 2.0;

  /**
   * Added to the cost of stopping an urgent run, in core-seconds, so that urgent runs are preempted
   * last.
   */
  private static final double URGENT_VICTIM_COST = 100_000;

  /** Time for which cached costs are valid, in milliseconds. */
  private static final long COST_TTL_MILLIS = 200;

  /**
   * A run that may be preempted.
   *
   * @param stoppedTogether runs that have to be stopped with it, itself included
   * @param cost cost of stopping all of these, in core-seconds
   * @param isUrgent whether the run is urgent
   */
  record Victim(RunState run, Collection<RunState> stoppedTogether, double cost, boolean isUrgent) {

    /** Tells whether the run can be stopped now. */
    boolean isStoppable(long nowMillis) {
      return run.isRunning()
          && !run.stopRequested
          && stoppedTogether.stream().allMatch(each -> each.worker.isResponsive(nowMillis));
    }

    private double costPerCore() {
      return cost / Math.max(1, run.coreEquivalents());
    }
  }

  /**
   * Costs of preempting the runs of one worker.
   *
   * @param byCost runs of the worker, the lowest cost per core first
   * @param used capacity used by all of them
   * @param usedByNonUrgent capacity used by those that are not urgent
   */
  record WorkerCosts(
      List<Victim> byCost,
      Resources used,
      Resources usedByNonUrgent,
      long runsVersion,
      long computedMillis) {

    private boolean isValidFor(WorkerSession worker, long nowMillis) {
      return runsVersion == worker.runsVersion && nowMillis < computedMillis + COST_TTL_MILLIS;
    }
  }

  /** Runs that have to be stopped together and what that costs. */
  private record VictimGroup(Collection<RunState> runs, double cost) {}

  private final ScopeState state;
  private final Map<WorkerSession, WorkerCosts> byWorker = new HashMap<>();
  private final Map<StepKey, VictimGroup> gangs = new HashMap<>();
  private long gangsMillis;

  PreemptionCosts(ScopeState state) {
    this.state = state;
  }

  /** Drops all cached costs. */
  void clear() {
    byWorker.clear();
    gangs.clear();
  }

  /** Returns the costs of preempting the runs of a worker. */
  WorkerCosts ofWorker(WorkerSession worker, long nowMillis) {
    WorkerCosts costs = byWorker.get(worker);
    if (costs == null || !costs.isValidFor(worker, nowMillis)) {
      if (byWorker.size() > 2 * state.sessions.size()) {
        // Most entries belong to sessions that are closed.
        byWorker.clear();
      }
      costs = compute(worker, nowMillis);
      byWorker.put(worker, costs);
    }
    return costs;
  }

  private WorkerCosts compute(WorkerSession worker, long nowMillis) {
    if (gangsMillis != nowMillis) {
      gangsMillis = nowMillis;
      gangs.clear();
    }
    List<Victim> found = new ArrayList<>();
    Resources used = Resources.NONE;
    Resources usedByNonUrgent = Resources.NONE;
    state.examined(worker.runs.size());
    for (RunState run : worker.runs.values()) {
      boolean isUrgent = state.priorityOf(run.job) == ScopeState.URGENT;
      VictimGroup group = groupOf(run, nowMillis);
      found.add(new Victim(run, group.runs(), group.cost(), isUrgent));
      used = used.plus(run.spec.task());
      usedByNonUrgent = isUrgent ? usedByNonUrgent : usedByNonUrgent.plus(run.spec.task());
    }
    found.sort(Comparator.comparingDouble(Victim::costPerCore));
    return new WorkerCosts(found, used, usedByNonUrgent, worker.runsVersion, nowMillis);
  }

  private VictimGroup groupOf(RunState run, long nowMillis) {
    if (!run.spec.gang()) {
      return new VictimGroup(List.of(run), costOf(run, nowMillis));
    }
    return gangs.computeIfAbsent(run.id.task().stepKey(), step -> gangOf(run, nowMillis));
  }

  private VictimGroup gangOf(RunState run, long nowMillis) {
    Collection<RunState> members = state.runsStoppedWith(run);
    double cost = members.stream().mapToDouble(member -> costOf(member, nowMillis)).sum();
    return new VictimGroup(members, cost);
  }

  private double costOf(RunState run, long nowMillis) {
    boolean isUrgent = state.priorityOf(run.job) == ScopeState.URGENT;
    double cost = run.unsavedCoreSeconds(nowMillis) + RESTART_SECONDS * run.coreEquivalents();
    return (run.spec.gang() ? GANG_FACTOR : 1) * cost + (isUrgent ? URGENT_VICTIM_COST : 0);
  }
}
