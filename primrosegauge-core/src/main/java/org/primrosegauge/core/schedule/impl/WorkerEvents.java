package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.schedule.RunningTask;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.core.schedule.StopMode;
import org.primrosegauge.core.schedule.TaskOutcome;
import org.primrosegauge.core.schedule.WorkerDescription;

/**
 * Handles what workers say about themselves and their tasks.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class WorkerEvents {

  private final DomainState state;
  private final GangLifecycle lifecycle;
  private final Rebuild rebuild;

  WorkerEvents(DomainState state, GangLifecycle lifecycle, Rebuild rebuild) {
    this.state = state;
    this.lifecycle = lifecycle;
    this.rebuild = rebuild;
  }

  void announced(WorkerDescription description, long nowMillis) {
    Worker known = state.fleet.find(description.target());
    boolean changed =
        known != null
            && !(known.capacity.equals(description.capacity())
                && known.rack.equals(description.rack()));
    if (changed) {
      expired(known.id, nowMillis);
      known = null;
    }
    if (known == null) {
      known = new Worker(description.target(), description.rack(), description.capacity());
      state.fleet.add(known);
    }
    known.leaving = false;
    state.fleetChanged = true;
    reconcile(known, description.running(), nowMillis);
    reserved(known, description.reserved());
    state.capacityChanged = true;
  }

  /** Brings the books in line with the tasks that the worker really runs. */
  private void reconcile(Worker worker, List<RunningTask> running, long nowMillis) {
    Set<TaskId> listed = new HashSet<>();
    for (RunningTask task : running) {
      listed.add(task.task());
      if (state.rebuilding) {
        rebuild.reported(worker, task, nowMillis);
      } else {
        listed(worker, task, nowMillis);
      }
    }
    for (TaskId id : new ArrayList<>(worker.held.keySet())) {
      if (!listed.contains(id)) {
        missing(worker, id, nowMillis);
      }
    }
  }

  /** Frees reservations that no gang waits for; during a rebuild they are only noted. */
  private void reserved(Worker worker, List<TaskId> reserved) {
    if (state.rebuilding) {
      rebuild.reserved(worker, reserved);
      return;
    }
    for (TaskId id : reserved) {
      if (Orphans.isOrphan(state, id)) {
        state.emit(new SchedulerAction.Release(worker.id, id, state.term));
      }
    }
  }

  private void listed(Worker worker, RunningTask running, long nowMillis) {
    TaskId id = running.task();
    Gang gang = state.gangs.get(id.job());
    GangTask task = gang == null ? null : gang.task(id);
    if (task != null && task.worker == worker && task.maybeRuns()) {
      lifecycle.started(gang, task, nowMillis);
      return;
    }
    worker.hold(id, running.job().perTask());
    state.emit(new SchedulerAction.Stop(worker.id, id, StopMode.STOP, state.term));
    Orphans.recount(state);
  }

  private void missing(Worker worker, TaskId id, long nowMillis) {
    Gang gang = state.gangs.get(id.job());
    GangTask task = gang == null ? null : gang.task(id);
    if (task == null || task.state == GangTask.State.ENDED) {
      worker.release(id);
      Orphans.recount(state);
    } else if (state.rebuilding) {
      // It counts as lost at the end of the rebuild, unless its end is reported until then.
      worker.release(id);
      forgetReport(gang, id);
    } else if (task.state == GangTask.State.RUNNING || task.state == GangTask.State.STOPPING) {
      lifecycle.lost(gang, task, JobReason.TASK_LOST, nowMillis);
    }
  }

  void leaving(TargetId target, long nowMillis) {
    Worker worker = state.fleet.find(target);
    if (worker == null) {
      return;
    }
    worker.leaving = true;
    state.fleetChanged = true;
    for (TaskId id : new ArrayList<>(worker.held.keySet())) {
      Gang gang = state.gangs.get(id.job());
      GangTask task = gang == null ? null : gang.task(id);
      if (task != null && task.isBeforeStart()) {
        lifecycle.abandon(gang, JobReason.WORKER_LOST, nowMillis);
      }
    }
  }

  void expired(TargetId target, long nowMillis) {
    Worker worker = state.fleet.remove(target);
    if (worker == null) {
      return;
    }
    for (TaskId id : new ArrayList<>(worker.held.keySet())) {
      Gang gang = state.gangs.get(id.job());
      GangTask task = gang == null || state.rebuilding ? null : gang.task(id);
      if (task == null) {
        forgetReport(gang, id);
      } else if (task.isBeforeStart()) {
        lifecycle.abandon(gang, JobReason.WORKER_LOST, nowMillis);
      } else {
        lifecycle.lost(gang, task, JobReason.WORKER_LOST, nowMillis);
      }
    }
    Orphans.recount(state);
    state.capacityChanged = true;
    state.fleetChanged = true;
  }

  private static void forgetReport(Gang gang, TaskId id) {
    if (gang != null && gang.task(id) != null) {
      gang.tasks[id.index()] = null;
    }
  }

  void taskEnded(TaskId id, TaskOutcome outcome, long nowMillis) {
    Gang gang = state.gangs.get(id.job());
    if (state.rebuilding) {
      rebuild.ended(id, outcome);
      return;
    }
    GangTask task = gang == null ? null : gang.task(id);
    if (task == null || task.state == GangTask.State.ENDED) {
      Orphans.ended(state, id);
      return;
    }
    judgeHealth(gang, task, outcome, nowMillis);
    lifecycle.ended(gang, task, outcome, nowMillis);
  }

  /** Blames the worker or the job: a job that fails on two workers is bad, not the workers. */
  private void judgeHealth(Gang gang, GangTask task, TaskOutcome outcome, long nowMillis) {
    if (outcome == TaskOutcome.DONE) {
      state.fleetChanged |= task.worker.health.isProbing();
      task.worker.health.succeeded();
    }
    if (outcome != TaskOutcome.FAILED) {
      return;
    }
    gang.failedWorkers.add(task.worker.id);
    if (gang.failedWorkers.size() == 1) {
      state.fleetChanged |=
          task.worker.health.failed(
              gang.spec.id(),
              state.settings.suspectJobs(),
              state.settings.asideMillis(),
              nowMillis);
      return;
    }
    for (TargetId target : gang.failedWorkers) {
      Worker worker = state.fleet.find(target);
      if (worker != null) {
        worker.health.forgive(gang.spec.id());
      }
    }
  }
}
