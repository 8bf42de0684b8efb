package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepRecord;
import org.primrosegauge.core.scope.cfg.ScopeFeature;

/**
 * Finds runs that have to be moved: runs on workers that drain, and runs that have stalled.
 *
 * <p>Covers workers that are withdrawn with notice, and workers on which tasks hang while their
 * heartbeats continue.
 *
 * <p>Not thread-safe.
 */
final class RunMonitor {

  /** Interval between two checks, in milliseconds. */
  static final long PERIOD_MILLIS = 250;

  private static final int COMPLETE_PERCENT = 100;

  /**
   * A run is far from its end if it is expected to take this many times as long as its worker is
   * certain to stay.
   */
  private static final int HOPELESS_FACTOR = 2;

  /** Time for a stop request and its result on top of the time a task takes to stop. */
  private static final long STOP_ROUND_TRIP_MILLIS = 150;

  private final ScopeState state;
  private final RunLifecycle lifecycle;

  /** Workers that drain and have announced how much time is left at least. */
  private final Set<WorkerSession> drainingWorkers = new LinkedHashSet<>();

  RunMonitor(ScopeState state, RunLifecycle lifecycle) {
    this.state = state;
    this.lifecycle = lifecycle;
  }

  /**
   * Takes notice of a worker that drains, and stops the runs there that cannot end in time.
   *
   * @see #stopBeforeExits
   */
  void drainWorker(WorkerSession worker, ClockReading now) {
    drainingWorkers.add(worker);
    stopBeforeExit(worker, now);
  }

  /**
   * Stops runs on draining workers, with their gangs, that cannot end before the worker exits.
   *
   * <p>A worker may exit without a word at the end of the time that it has announced. Its runs
   * would then count as active until their lease has expired; a run that is stopped while the
   * worker still responds is placed again at once. Those that can resume from a checkpoint and
   * those that are far from their end are stopped early, the others and long-running ones only when
   * it is time for the stop.
   */
  void stopBeforeExits(ClockReading now) {
    drainingWorkers.removeIf(worker -> !isToBeWatched(worker));
    drainingWorkers.forEach(worker -> stopBeforeExit(worker, now));
  }

  private boolean isToBeWatched(WorkerSession worker) {
    boolean isCurrent = state.sessions.get(worker.info.key()) == worker;
    return isCurrent && worker.draining && !worker.exitAnnounced;
  }

  private void stopBeforeExit(WorkerSession worker, ClockReading now) {
    state.examined(worker.runs.size());
    long leftMillis = worker.drainEndMillis - now.monotonicMillis();
    for (RunState run : List.copyOf(worker.runs.values())) {
      if (isToBeStopped(run, leftMillis, now.monotonicMillis())) {
        stopWithGang(run, "worker drains", now);
      }
    }
  }

  private boolean isToBeStopped(RunState run, long leftMillis, long nowMillis) {
    boolean isReachable = run.isRunning() && run.worker.pollFailures == 0;
    if (!isReachable || run.stopRequested || run.endProposed) {
      return false;
    }
    long remainingMillis = run.remainingMillis(nowMillis);
    if (run.spec.checkpoints()) {
      return remainingMillis > leftMillis;
    }
    if (leftMillis <= 0 || !state.settings.isEnabled(ScopeFeature.STOP_BEFORE_EXIT)) {
      return false;
    }
    boolean isStopDue = leftMillis <= state.settings.stopTimeoutMillis() + STOP_ROUND_TRIP_MILLIS;
    if (run.spec.longRunning()) {
      return isStopDue;
    }
    boolean endsInTime = run.hasProgress() && remainingMillis <= leftMillis;
    return isStopDue ? !endsInTime : remainingMillis > HOPELESS_FACTOR * leftMillis;
  }

  /** Stops orphaned runs and runs that have made no progress for too long. */
  void check(ClockReading now) {
    stopOrphans(now);
    Set<StepKey> stalledGangs = new LinkedHashSet<>();
    for (RunState run : takeDueChecks(now.monotonicMillis())) {
      state.examined(1);
      boolean isOver = state.runs.get(run.id) != run || run.stopRequested;
      if (isOver) {
        continue;
      }
      state.scheduleStallCheck(run, now.monotonicMillis() + PERIOD_MILLIS);
      if (!isStalled(run, now.monotonicMillis())) {
        continue;
      }
      if (run.spec.gang()) {
        stalledGangs.add(run.id.task().stepKey());
      } else {
        lifecycle.quarantine(run.worker, "a run has stalled", now.monotonicMillis());
        lifecycle.stop(run, "no progress", now);
      }
    }
    stalledGangs.forEach(step -> stopGangIfStalled(step, now));
  }

  /** Returns the runs whose stall check is due. */
  private List<RunState> takeDueChecks(long nowMillis) {
    List<RunState> due = new ArrayList<>();
    Optional<RunState> next = state.stallChecks.take(nowMillis);
    while (next.isPresent()) {
      due.add(next.get());
      next = state.stallChecks.take(nowMillis);
    }
    return due;
  }

  /**
   * Stops runs of jobs that are over and the remaining members of incomplete gangs; a new leader
   * may find such runs.
   */
  private void stopOrphans(ClockReading now) {
    List<StepKey> steps = List.copyOf(state.stepsToCheck);
    state.stepsToCheck.clear();
    for (StepKey stepKey : steps) {
      StepRecord step = state.ledger.step(stepKey);
      state.runsOf(stepKey).forEach(run -> stopIfOrphaned(run, step, now));
    }
  }

  private void stopIfOrphaned(RunState run, StepRecord step, ClockReading now) {
    boolean isDone = step == null || step.isDone();
    if (isDone && run.spec.gang()) {
      // The members end by themselves; the worker is about to report this end.
      return;
    }
    if (run.job.status().isFinal()) {
      lifecycle.stop(run, "job is over", now);
    } else if (run.spec.gang() && run.isDispatched() && step.openTasks() < step.tasks().size()) {
      lifecycle.stop(run, "gang is incomplete", now);
    }
  }

  /**
   * Stops a gang if all its members have stalled, and quarantines the workers of the members with
   * the least progress, as these are likely to cause the stall.
   */
  private void stopGangIfStalled(StepKey step, ClockReading now) {
    var members = state.runsOf(step);
    boolean allStalled = members.stream().allMatch(run -> isStalled(run, now.monotonicMillis()));
    if (!allStalled) {
      return;
    }
    int minPercent = members.stream().mapToInt(run -> run.percent).min().orElse(0);
    int maxPercent = members.stream().mapToInt(run -> run.percent).max().orElse(0);
    for (RunState run : members) {
      if (run.percent == minPercent && minPercent < maxPercent) {
        lifecycle.quarantine(run.worker, "a gang member has stalled", now.monotonicMillis());
      }
      lifecycle.stop(run, "no progress", now);
    }
  }

  private boolean isStalled(RunState run, long nowMillis) {
    return state.settings.isEnabled(ScopeFeature.STALL_DETECTION)
        && run.isRunning()
        && !run.stopRequested
        && !run.endProposed
        && !run.spec.longRunning()
        && run.percent < COMPLETE_PERCENT
        && run.worker.pollFailures == 0
        && nowMillis - run.progressMillis > state.settings.stallTimeoutMillis();
  }

  private void stopWithGang(RunState run, String reason, ClockReading now) {
    state.runsStoppedWith(run).forEach(member -> lifecycle.stop(member, reason, now));
  }
}
