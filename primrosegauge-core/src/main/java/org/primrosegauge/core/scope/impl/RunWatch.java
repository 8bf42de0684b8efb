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
final class RunWatch {

  /** Time between two checks, in milliseconds. */
  static final long PERIOD_MILLIS = 250;

  private static final int COMPLETE_PERCENT = 100;

  private final ScopeState state;
  private final RunOrders orders;

  RunWatch(ScopeState state, RunOrders orders) {
    this.state = state;
    this.orders = orders;
  }

  /** Moves the work off a worker that leaves, where it cannot end there in time. */
  void drain(WorkerSession worker, ClockReading present) {
    state.examined(worker.runs.size());
    for (RunControl run : List.copyOf(worker.runs.values())) {
      long end = present.monotonicMillis() + run.remainingMillis(present.monotonicMillis());
      boolean isSaved = run.spec.checkpoints() && run.isRunning();
      if (isSaved && end > worker.drainEndMillis) {
        stopTogether(run, "worker leaves", present);
      }
    }
  }

  /** Looks for runs that have not moved on for too long. */
  void check(ClockReading present) {
    stopStrays(present);
    Set<StepKey> stalledGangs = new LinkedHashSet<>();
    for (RunControl run : takeDue(present.monotonicMillis())) {
      state.examined(1);
      boolean isOver = state.runs.get(run.id) != run || run.stopWanted;
      if (isOver) {
        continue;
      }
      state.watchAt(run, present.monotonicMillis() + PERIOD_MILLIS);
      if (!isStalled(run, present.monotonicMillis())) {
        continue;
      }
      if (run.spec.gang()) {
        stalledGangs.add(run.id.task().stepKey());
      } else {
        orders.setAside(run.worker, "a run stands still", present.monotonicMillis());
        orders.stop(run, "no progress", present);
      }
    }
    stalledGangs.forEach(step -> checkGang(step, present));
  }

  /** Takes the runs that had time enough to stand still since they last moved on. */
  private List<RunControl> takeDue(long nowMillis) {
    List<RunControl> due = new ArrayList<>();
    Optional<RunControl> next = state.stalls.take(nowMillis);
    while (next.isPresent()) {
      due.add(next.get());
      next = state.stalls.take(nowMillis);
    }
    return due;
  }

  /** Stops runs of jobs that are over and what is left of gangs, as a new leader may find them. */
  private void stopStrays(ClockReading present) {
    List<StepKey> suspects = List.copyOf(state.suspects);
    state.suspects.clear();
    for (StepKey suspect : suspects) {
      StepRecord step = state.ledger.step(suspect);
      state.runsOf(suspect).forEach(run -> stopIfStray(run, step, present));
    }
  }

  private void stopIfStray(RunControl run, StepRecord step, ClockReading present) {
    boolean isDone = step == null || step.isDone();
    if (isDone && run.spec.gang()) {
      // Its members end by themselves; the worker is about to list this end.
      return;
    }
    if (run.job.status().isFinal()) {
      orders.stop(run, "job is over", present);
    } else if (run.spec.gang() && run.isOrdered() && step.openTasks() < step.tasks().size()) {
      orders.stop(run, "gang is not complete", present);
    }
  }

  /** The member that is furthest behind points at the worker that does not work. */
  private void checkGang(StepKey step, ClockReading present) {
    var members = state.runsOf(step);
    boolean allStand = members.stream().allMatch(run -> isStalled(run, present.monotonicMillis()));
    if (!allStand) {
      return;
    }
    int least = members.stream().mapToInt(run -> run.percent).min().orElse(0);
    int most = members.stream().mapToInt(run -> run.percent).max().orElse(0);
    for (RunControl run : members) {
      if (run.percent == least && least < most) {
        orders.setAside(run.worker, "a gang member stands still", present.monotonicMillis());
      }
      orders.stop(run, "no progress", present);
    }
  }

  private boolean isStalled(RunControl run, long nowMillis) {
    return run.isRunning()
        && !run.stopWanted
        && !run.endProposed
        && !run.spec.longRunning()
        && run.percent < COMPLETE_PERCENT
        && run.worker.lookFailures == 0
        && nowMillis - run.progressMillis > state.settings.stallTimeoutMillis();
  }

  private void stopTogether(RunControl run, String why, ClockReading present) {
    state.stoppedWith(run).forEach(member -> orders.stop(member, why, present));
  }
}
