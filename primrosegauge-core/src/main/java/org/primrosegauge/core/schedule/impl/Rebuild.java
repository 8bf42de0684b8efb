package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.schedule.RunningTask;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.core.schedule.StopMode;
import org.primrosegauge.core.schedule.TaskOutcome;

/**
 * Rebuilds the placements of a domain under a new keeper. For the time of one lease it only
 * listens. Then a gang reported in full is adopted. A gang of which some tasks were started and the
 * others are still reserved is completed, if its start is on record: the record is the decision of
 * a two-phase commit, which a successor carries out (Skeen, Nonblocking Commit Protocols, 1981).
 * Any other gang reported in part is stopped.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class Rebuild {

  private final DomainState state;
  private final GangLifecycle lifecycle;
  private final GangSettlement settlement;
  private final ClaimAdoption adoption;

  /** Tasks that workers hold capacity for and were not told to start. */
  private final Map<TaskId, Worker> reserved = new LinkedHashMap<>();

  /** Ends of tasks, kept because the record of their job may come later than they do. */
  private final Map<TaskId, TaskOutcome> ended = new LinkedHashMap<>();

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
    reserved.clear();
    ended.clear();
    for (Gang gang : state.gangs.values()) {
      if (gang.phase.isFinal()) {
        continue;
      }
      boolean mayRun = gang.phase.ordinal() >= JobPhase.STARTING.ordinal();
      recorded(gang, gang.attempt, gang.phase);
      gang.unconfirmed |= mayRun;
      gang.tasks = new GangTask[0];
      if (!mayRun && !gang.unconfirmed) {
        gang.phase = JobPhase.QUEUED;
        state.enqueue(gang, nowMillis);
      }
    }
  }

  /** Notes the phase on record of a gang that is not confirmed yet. */
  void recorded(Gang gang, int attempt, JobPhase phase) {
    if (state.rebuilding && attempt >= gang.startingAttempt) {
      gang.startingAttempt = phase == JobPhase.STARTING ? attempt : 0;
    }
  }

  /** Records the reservations of a worker; replaces what it said before. */
  void reserved(Worker worker, List<TaskId> tasks) {
    reserved.values().removeIf(worker::equals);
    tasks.forEach(task -> reserved.put(task, worker));
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
  void ended(TaskId id, TaskOutcome outcome) {
    ended.put(id, outcome);
    Orphans.ended(state, id);
  }

  private void applyEnd(TaskId id, TaskOutcome outcome) {
    Gang gang = state.gangs.get(id.job());
    if (gang == null || gang.phase.isFinal() || id.attempt() < gang.attempt) {
      return;
    }
    if (id.index() >= gang.spec.tasks()) {
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
    ended.forEach(this::applyEnd);
    state.rebuilding = false;
    state.capacityChanged = true;
    state.fleetChanged = true;
    for (Gang gang : new ArrayList<>(state.gangs.values())) {
      if (gang.unconfirmed && !gang.phase.isFinal()) {
        confirm(gang, nowMillis);
      }
    }
    Orphans.stopAll(state);
    reserved.forEach(this::releaseLeftover);
    reserved.clear();
    ended.clear();
  }

  private void releaseLeftover(TaskId id, Worker worker) {
    if (Orphans.isOrphan(state, id)) {
      state.emit(new SchedulerAction.Release(worker.id, id, state.term));
    }
  }

  /** Books the reserved tasks of a gang that can be started in full; false when it cannot. */
  private boolean takeReserved(Gang gang, long nowMillis) {
    if (!mayComplete(gang) || !state.mayStart(nowMillis)) {
      return false;
    }
    for (int i = 0; i < gang.tasks.length; i++) {
      if (gang.tasks[i] == null) {
        TaskId id = new TaskId(gang.spec.id(), gang.attempt, i);
        Worker worker = reserved.get(id);
        gang.tasks[i] = new GangTask(id, worker, GangTask.State.RESERVED);
        worker.hold(id, gang.demand);
      }
    }
    return true;
  }

  private boolean mayComplete(Gang gang) {
    boolean anyStarted = false;
    boolean anyReserved = false;
    for (int i = 0; i < gang.tasks.length; i++) {
      GangTask task = gang.tasks[i];
      if (task == null && !isReserved(new TaskId(gang.spec.id(), gang.attempt, i))
          || task != null && !task.isRunningOrDone()) {
        return false;
      }
      anyStarted |= task != null;
      anyReserved |= task == null;
    }
    boolean onRecord = gang.startingAttempt == gang.attempt;
    return onRecord && anyStarted && anyReserved && !gang.cancelled;
  }

  private boolean isReserved(TaskId id) {
    Worker worker = reserved.get(id);
    return worker != null && state.fleet.find(worker.id) == worker;
  }

  private void confirm(Gang gang, long nowMillis) {
    gang.unconfirmed = false;
    if (takeReserved(gang, nowMillis)) {
      state.activate(gang);
      adoption.adopt(gang);
      lifecycle.completeStart(gang, nowMillis);
      return;
    }
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
