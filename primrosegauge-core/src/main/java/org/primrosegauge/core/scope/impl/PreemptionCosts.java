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
 * What stopping runs costs, worker by worker, the cheapest runs first.
 *
 * <p>Kept from one attempt to make room to the next: only workers whose runs have changed are
 * looked at again, and costs are a fraction of a second old at most.
 *
 * <p>Not thread-safe.
 */
final class PreemptionCosts {

  /** Time that a stop and a later start cost a run beside its unsaved work, in seconds. */
  private static final double RESTART_SECONDS = 0.6;

  /** A gang that is stopped has to gather all its workers again. */
  private static final double GANG_FACTOR = 2.0;

  /** Added to the cost of stopping urgent work, in core-seconds: it gives way last. */
  private static final double URGENT_VICTIM_COST = 100_000;

  /** Time for which costs stand, in milliseconds. */
  private static final long COST_TTL_MILLIS = 200;

  /**
   * A run that may have to give way.
   *
   * @param together runs that end with it
   * @param cost cost of stopping all of these, in core-seconds
   * @param isUrgent whether it is urgent work
   */
  record Victim(RunState run, Collection<RunState> stoppedTogether, double cost, boolean isUrgent) {

    /** Tells whether it can be stopped now. */
    boolean isStoppable() {
      return run.isRunning() && !run.stopRequested;
    }

    private double costPerCore() {
      return cost / Math.max(1, run.coreEquivalents());
    }
  }

  /**
   * Runs of one worker.
   *
   * @param byCost its runs, the cheapest for its weight first
   * @param most room that all of them take
   * @param mostNotUrgent room that those take that aren't urgent
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

  /** Runs that end together and what that costs. */
  private record VictimGroup(Collection<RunState> runs, double cost) {}

  private final ScopeState state;
  private final Map<WorkerSession, WorkerCosts> byWorker = new HashMap<>();
  private final Map<StepKey, VictimGroup> gangs = new HashMap<>();
  private long gangsMillis;

  PreemptionCosts(ScopeState state) {
    this.state = state;
  }

  /** Forgets all. */
  void clear() {
    byWorker.clear();
    gangs.clear();
  }

  /** Returns the runs of a worker. */
  WorkerCosts ofWorker(WorkerSession worker, long nowMillis) {
    WorkerCosts known = byWorker.get(worker);
    if (known == null || !known.isValidFor(worker, nowMillis)) {
      if (byWorker.size() > 2 * state.sessions.size()) {
        // Most are of workers that are gone.
        byWorker.clear();
      }
      known = compute(worker, nowMillis);
      byWorker.put(worker, known);
    }
    return known;
  }

  private WorkerCosts compute(WorkerSession worker, long nowMillis) {
    if (gangsMillis != nowMillis) {
      gangsMillis = nowMillis;
      gangs.clear();
    }
    List<Victim> found = new ArrayList<>();
    Resources most = Resources.NONE;
    Resources mostNotUrgent = Resources.NONE;
    state.examined(worker.runs.size());
    for (RunState run : worker.runs.values()) {
      boolean isUrgent = state.priorityOf(run.job) == ScopeState.URGENT;
      VictimGroup group = groupOf(run, nowMillis);
      found.add(new Victim(run, group.runs(), group.cost(), isUrgent));
      most = most.plus(run.spec.task());
      mostNotUrgent = isUrgent ? mostNotUrgent : mostNotUrgent.plus(run.spec.task());
    }
    found.sort(Comparator.comparingDouble(Victim::costPerCore));
    return new WorkerCosts(found, most, mostNotUrgent, worker.runsVersion, nowMillis);
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
    double lost = run.unsavedCoreSeconds(nowMillis) + RESTART_SECONDS * run.coreEquivalents();
    return (run.spec.gang() ? GANG_FACTOR : 1) * lost + (isUrgent ? URGENT_VICTIM_COST : 0);
  }
}
