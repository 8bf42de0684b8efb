package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepRecord;

/**
 * Watches runs that should be moved: those on workers that leave, and those that stand still.
 *
 * <p>Answers workers that are taken away with notice and workers on which tasks hang while their
 * heartbeats go on.
 *
 * <p>Not thread-safe.
 */
final class RunMonitor {

  /** Time between two checks, in milliseconds. */
  static final long PERIOD_MILLIS = 250;

  private static final int COMPLETE_PERCENT = 100;

  private final ScopeState state;
  private final RunLifecycle lifecycle;

  RunMonitor(ScopeState state, RunLifecycle orders) {
    this.state = state;
    this.lifecycle = orders;
  }

  /** Moves the work off a worker that leaves, where it cannot end there in time. */
  void drainWorker(WorkerSession worker, ClockReading now) {
    state.examined(worker.runs.size());
    for (RunState run : List.copyOf(worker.runs.values())) {
      long end = now.monotonicMillis() + run.remainingMillis(now.monotonicMillis());
      boolean isSaved = run.spec.checkpoints() && run.isRunning();
      if (isSaved && end > worker.drainEndMillis) {
        stopWithGang(run, "worker leaves", now);
      }
    }
  }

  /** Looks for runs that have not moved on for too long. */
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
        lifecycle.quarantine(run.worker, "a run stands still", now.monotonicMillis());
        lifecycle.stop(run, "no progress", now);
      }
    }
    stalledGangs.forEach(step -> stopGangIfStalled(step, now));
  }

  /** Takes the runs that had time enough to stand still since they last moved on. */
  private List<RunState> takeDueChecks(long nowMillis) {
    List<RunState> due = new ArrayList<>();
    Optional<RunState> next = state.stallChecks.take(nowMillis);
    while (next.isPresent()) {
      due.add(next.get());
      next = state.stallChecks.take(nowMillis);
    }
    return due;
  }

  /** Stops runs of jobs that are over and what is left of gangs, as a new leader may find them. */
  private void stopOrphans(ClockReading now) {
    List<StepKey> suspects = List.copyOf(state.stepsToCheck);
    state.stepsToCheck.clear();
    for (StepKey suspect : suspects) {
      StepRecord step = state.ledger.step(suspect);
      state.runsOf(suspect).forEach(run -> stopIfOrphaned(run, step, now));
    }
  }

  private void stopIfOrphaned(RunState run, StepRecord step, ClockReading now) {
    boolean isDone = step == null || step.isDone();
    if (isDone && run.spec.gang()) {
      // Its members end by themselves; the worker is about to list this end.
      return;
    }
    if (run.job.status().isFinal()) {
      lifecycle.stop(run, "job is over", now);
    } else if (run.spec.gang() && run.isDispatched() && step.openTasks() < step.tasks().size()) {
      lifecycle.stop(run, "gang is not complete", now);
    }
  }

  /** The member that is furthest behind points at the worker that does not work. */
  private void stopGangIfStalled(StepKey step, ClockReading now) {
    var members = state.runsOf(step);
    boolean allStand = members.stream().allMatch(run -> isStalled(run, now.monotonicMillis()));
    if (!allStand) {
      return;
    }
    int least = members.stream().mapToInt(run -> run.percent).min().orElse(0);
    int most = members.stream().mapToInt(run -> run.percent).max().orElse(0);
    for (RunState run : members) {
      if (run.percent == least && least < most) {
        lifecycle.quarantine(run.worker, "a gang member stands still", now.monotonicMillis());
      }
      lifecycle.stop(run, "no progress", now);
    }
  }

  private boolean isStalled(RunState run, long nowMillis) {
    return run.isRunning()
        && !run.stopRequested
        && !run.endProposed
        && !run.spec.longRunning()
        && run.percent < COMPLETE_PERCENT
        && run.worker.pollFailures == 0
        && nowMillis - run.progressMillis > state.settings.stallTimeoutMillis();
  }

  private void stopWithGang(RunState run, String why, ClockReading now) {
    state.runsStoppedWith(run).forEach(member -> lifecycle.stop(member, why, now));
  }
}
