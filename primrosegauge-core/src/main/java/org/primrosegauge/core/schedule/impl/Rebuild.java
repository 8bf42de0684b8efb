package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.schedule.RunningTask;
import org.primrosegauge.core.schedule.StopMode;
import org.primrosegauge.core.schedule.TaskOutcome;

/**
 * Rebuilds the placements of a domain under a new keeper. For the time of one lease it only
 * listens; then a gang reported in full is adopted and a gang reported in part is stopped.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class Rebuild {

  private final DomainState state;
  private final GangLifecycle lifecycle;
  private final GangSettlement settlement;
  private final ClaimAdoption adoption;

  Rebuild(DomainState state, GangLifecycle lifecycle, GangSettlement settlement) {
    this.state = state;
    this.lifecycle = lifecycle;
    this.settlement = settlement;
    this.adoption = new ClaimAdoption(state);
  }

  /** Forgets all placements; the workers announce them again. */
  void begin(long nowMillis) {
    state.rebuilding = true;
    state.rebuildUntilMillis = nowMillis + state.settings.rebuildMillis();
    state.fleet.clear();
    state.ledger.clear();
    state.active.clear();
    state.use.clear();
    state.orphans.clear();
    state.inTransition.clear();
    for (Gang gang : state.gangs.values()) {
      if (gang.phase.isFinal()) {
        continue;
      }
      boolean mayRun = gang.phase.ordinal() >= JobPhase.STARTING.ordinal();
      gang.unconfirmed |= mayRun;
      gang.tasks = new GangTask[0];
      if (!mayRun && !gang.unconfirmed) {
        gang.phase = JobPhase.QUEUED;
        state.enqueue(gang, nowMillis);
      }
    }
  }

  /** Records a task that a worker reports while the keeper still listens. */
  void reported(Worker worker, RunningTask running, long nowMillis) {
    TaskId id = running.task();
    Gang gang = state.gangs.get(id.job());
    if (gang == null) {
      gang = new Gang(running.job(), state.nextSequence(), nowMillis);
      state.gangs.put(id.job(), gang);
    }
    worker.hold(id, gang.demand);
    if (gang.phase.isFinal() || id.attempt() < gang.attempt) {
      return;
    }
    adoptAttempt(gang, id.attempt());
    gang.startedMillis = nowMillis;
    gang.tasks[id.index()] = new GangTask(id, worker, GangTask.State.RUNNING);
  }

  /** Records the end of a task reported while the keeper still listens. */
  void ended(Gang gang, TaskId id, TaskOutcome outcome) {
    if (gang.phase.isFinal() || id.attempt() < gang.attempt) {
      return;
    }
    adoptAttempt(gang, id.attempt());
    GangTask known = gang.tasks[id.index()];
    if (known == null) {
      gang.tasks[id.index()] = GangTask.ended(id, null, outcome);
    } else {
      known.end(outcome);
    }
  }

  private void adoptAttempt(Gang gang, int attempt) {
    if (attempt > gang.attempt || gang.tasks.length == 0) {
      gang.attempt = attempt;
      gang.tasks = new GangTask[gang.spec.tasks()];
      gang.unconfirmed = true;
      state.queue.remove(gang);
    }
  }

  /** Ends the rebuild when its time has come. */
  void finishWhenDue(long nowMillis) {
    if (!state.rebuilding || nowMillis < state.rebuildUntilMillis) {
      return;
    }
    state.rebuilding = false;
    state.capacityChanged = true;
    state.fleetChanged = true;
    for (Gang gang : new ArrayList<>(state.gangs.values())) {
      if (gang.unconfirmed && !gang.phase.isFinal()) {
        confirm(gang, nowMillis);
      }
    }
    Orphans.stopAll(state);
  }

  private void confirm(Gang gang, long nowMillis) {
    gang.unconfirmed = false;
    boolean complete = gang.tasks.length > 0;
    if (!complete) {
      gang.attempt = Math.max(gang.attempt, 1);
      gang.tasks = new GangTask[gang.spec.tasks()];
    }
    for (int i = 0; i < gang.tasks.length; i++) {
      if (gang.tasks[i] == null) {
        TaskId id = new TaskId(gang.spec.id(), gang.attempt, i);
        gang.tasks[i] = GangTask.ended(id, null, TaskOutcome.LOST);
      }
      complete &= gang.tasks[i].outcome == null || gang.tasks[i].outcome == TaskOutcome.DONE;
    }
    gang.stopReason = JobReason.PARTIAL_GANG;
    if (gang.allIn(GangTask.State.ENDED)) {
      settlement.afterEnd(gang, nowMillis);
      return;
    }
    gang.phase = JobPhase.RUNNING;
    state.activate(gang);
    adoption.adopt(gang);
    if (gang.cancelled) {
      lifecycle.stop(gang, StopMode.STOP, JobReason.CANCELLED, nowMillis);
    } else if (complete) {
      state.enter(gang, JobPhase.RUNNING, JobReason.ADOPTED, nowMillis);
    } else {
      lifecycle.stop(gang, StopMode.STOP, JobReason.PARTIAL_GANG, nowMillis);
    }
  }
}
