package org.primrosegauge.core.schedule.impl;

import java.util.List;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.core.schedule.StopMode;
import org.primrosegauge.core.schedule.TaskOutcome;

/**
 * Carries a gang from its placement to its end: reservations on every worker, then starts, then the
 * run, then the stop. Any refusal, silence or loss before the start frees the entire gang; any loss
 * after it stops the entire gang.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class GangLifecycle {

  private final DomainState state;
  private final GangSettlement settlement;

  GangLifecycle(DomainState state, GangSettlement settlement) {
    this.state = state;
    this.settlement = settlement;
  }

  // Start in two steps

  /** Books capacity for a new attempt and reserves it as soon as no borrower is left on it. */
  void plan(Gang gang, List<Worker> workers, long nowMillis) {
    state.queue.remove(gang);
    gang.promoted = false;
    gang.attempt++;
    gang.tasks = new GangTask[workers.size()];
    for (int i = 0; i < gang.tasks.length; i++) {
      TaskId id = new TaskId(gang.spec.id(), gang.attempt, i);
      gang.tasks[i] = new GangTask(id, workers.get(i), GangTask.State.PLANNED);
      workers.get(i).hold(id, gang.demand);
    }
    state.activate(gang);
    gang.waitsFor(JobReason.WAITS_PREEMPTION, nowMillis);
    state.inTransition.add(gang);
  }

  /** Sends the reservations of a planned gang once all its workers have room. */
  void reserveWhenVacated(Gang gang, long nowMillis) {
    for (GangTask task : gang.tasks) {
      if (task.worker.isOverdrawn()) {
        return;
      }
    }
    if (!state.mayStart(nowMillis)) {
      abandon(gang, JobReason.LEASE_LOST, nowMillis);
      return;
    }
    gang.phaseUntilMillis = nowMillis + state.settings.reserveTimeoutMillis();
    state.enter(gang, JobPhase.RESERVING, JobReason.PLACED, nowMillis);
    for (GangTask task : gang.tasks) {
      task.state = GangTask.State.RESERVING;
      state.emit(
          new SchedulerAction.Reserve(
              task.worker.id,
              task.id,
              gang.demand,
              state.settings.reserveLeaseMillis(),
              state.term));
    }
  }

  void reserved(Gang gang, GangTask task, long nowMillis) {
    if (task.state != GangTask.State.RESERVING) {
      return;
    }
    task.state = GangTask.State.RESERVED;
    if (gang.allIn(GangTask.State.RESERVED)) {
      start(gang, nowMillis);
    }
  }

  private void start(Gang gang, long nowMillis) {
    if (!state.mayStart(nowMillis) || nowMillis >= gang.phaseUntilMillis) {
      abandon(gang, startObstacle(nowMillis), nowMillis);
      return;
    }
    sendStarts(gang, JobReason.RESERVED, nowMillis);
  }

  /** Sends the starts that the lost keeper of a gang on record did not send. */
  void completeStart(Gang gang, long nowMillis) {
    state.inTransition.add(gang);
    sendStarts(gang, JobReason.ADOPTED, nowMillis);
  }

  private void sendStarts(Gang gang, JobReason why, long nowMillis) {
    gang.phaseUntilMillis = nowMillis + state.settings.startTimeoutMillis();
    gang.startedMillis = nowMillis;
    // The owner learns of the start before any worker does, so that no gang is started unrecorded.
    state.enter(gang, JobPhase.STARTING, why, nowMillis);
    for (GangTask task : gang.tasks) {
      if (task.state == GangTask.State.RESERVED) {
        task.state = GangTask.State.STARTING;
        state.emit(new SchedulerAction.Start(task.worker.id, task.id, gang.spec, state.term));
      }
    }
  }

  private JobReason startObstacle(long nowMillis) {
    if (state.domainSwitch.out()) {
      return JobReason.DOMAIN_OUT;
    }
    boolean inOffice = state.holdsLease(nowMillis) && !state.draining;
    return inOffice ? JobReason.RESERVE_TIMEOUT : JobReason.LEASE_LOST;
  }

  void started(Gang gang, GangTask task, long nowMillis) {
    if (task.state != GangTask.State.STARTING) {
      return;
    }
    task.state = GangTask.State.RUNNING;
    enterRunning(gang, nowMillis);
  }

  private void enterRunning(Gang gang, long nowMillis) {
    if (gang.phase == JobPhase.STARTING && gang.noneIn(GangTask.State.STARTING)) {
      state.inTransition.remove(gang);
      state.enter(gang, JobPhase.RUNNING, JobReason.STARTED, nowMillis);
    }
  }

  /** Frees a gang of which nothing was started, and queues it again. */
  void abandon(Gang gang, JobReason why, long nowMillis) {
    free(gang);
    settlement.afterAbandon(gang, why, nowMillis);
  }

  /** Frees planned and reserved capacity; no task of the gang was started. */
  void free(Gang gang) {
    for (GangTask task : gang.tasks) {
      boolean sent = task.state != GangTask.State.PLANNED;
      task.end(TaskOutcome.LOST);
      if (sent) {
        state.emit(new SchedulerAction.Release(task.worker.id, task.id, state.term));
      }
    }
    gang.tasks = new GangTask[0];
    state.inTransition.remove(gang);
    state.capacityChanged = true;
  }

  // Stop

  /** Stops every task of a gang that was started. */
  void stop(Gang gang, StopMode mode, JobReason why, long nowMillis) {
    if (gang.phase == JobPhase.STOPPING) {
      return;
    }
    gang.stopReason = why;
    state.enter(gang, JobPhase.STOPPING, why, nowMillis);
    state.inTransition.add(gang);
    boolean checkpoint = mode == StopMode.CHECKPOINT;
    long wait = checkpoint ? state.settings.checkpointMillis() : state.settings.stopResendMillis();
    gang.phaseUntilMillis = nowMillis + wait;
    sendStops(gang, mode);
    settleWhenEnded(gang, nowMillis);
  }

  private void sendStops(Gang gang, StopMode mode) {
    for (GangTask task : gang.tasks) {
      if (task.maybeRuns()) {
        task.state = GangTask.State.STOPPING;
        state.emit(new SchedulerAction.Stop(task.worker.id, task.id, mode, state.term));
      }
    }
  }

  void ended(Gang gang, GangTask task, TaskOutcome outcome, long nowMillis) {
    end(gang, task, outcome, reasonOf(outcome), nowMillis);
  }

  void lost(Gang gang, GangTask task, JobReason why, long nowMillis) {
    end(gang, task, TaskOutcome.LOST, why, nowMillis);
  }

  private void end(Gang gang, GangTask task, TaskOutcome outcome, JobReason why, long nowMillis) {
    if (task.isBeforeStart()) {
      abandon(gang, JobReason.RESERVE_REFUSED, nowMillis);
      return;
    }
    if (task.state == GangTask.State.ENDED) {
      return;
    }
    // What one task frees is looked at with the last task or the next tick: a pass for each task of
    // a large gang would cost far more than it starts.
    task.end(outcome);
    if (gang.phase != JobPhase.STOPPING && outcome != TaskOutcome.DONE) {
      stop(gang, StopMode.STOP, why, nowMillis);
      return;
    }
    enterRunning(gang, nowMillis);
    settleWhenEnded(gang, nowMillis);
    state.vacated = true;
  }

  private static JobReason reasonOf(TaskOutcome outcome) {
    return outcome == TaskOutcome.FAILED ? JobReason.TASK_FAILED : JobReason.TASK_LOST;
  }

  private void settleWhenEnded(Gang gang, long nowMillis) {
    if (gang.allIn(GangTask.State.ENDED)) {
      state.inTransition.remove(gang);
      settlement.afterEnd(gang, nowMillis);
    }
  }

  // Time-outs

  /** Acts on a gang whose phase has lasted too long. */
  void checkTime(Gang gang, long nowMillis) {
    if (gang.isPlanned()) {
      reserveWhenVacated(gang, nowMillis);
    } else if (nowMillis >= gang.phaseUntilMillis) {
      switch (gang.phase) {
        case RESERVING -> abandon(gang, JobReason.RESERVE_TIMEOUT, nowMillis);
        case STARTING -> stop(gang, StopMode.STOP, JobReason.START_TIMEOUT, nowMillis);
        case STOPPING -> {
          gang.phaseUntilMillis = nowMillis + state.settings.stopResendMillis();
          sendStops(gang, StopMode.STOP);
        }
        default -> state.inTransition.remove(gang);
      }
    }
  }
}
