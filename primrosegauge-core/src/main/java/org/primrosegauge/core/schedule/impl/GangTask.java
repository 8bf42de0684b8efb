package org.primrosegauge.core.schedule.impl;

import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.schedule.TaskOutcome;

/** One task of a gang's present attempt. */
final class GangTask {

  enum State {
    /** Capacity is booked; borrowers may still be there. */
    PLANNED,
    /** A reservation was sent. */
    RESERVING,
    /** The worker holds the capacity. */
    RESERVED,
    /** A start was sent. */
    STARTING,
    /** The worker runs the task. */
    RUNNING,
    /** A checkpoint or stop was sent. */
    STOPPING,
    /** It does not run any more. */
    ENDED
  }

  final TaskId id;
  final Worker worker;
  State state;
  TaskOutcome outcome;

  GangTask(TaskId id, Worker worker, State state) {
    this.id = id;
    this.worker = worker;
    this.state = state;
  }

  static GangTask ended(TaskId id, Worker worker, TaskOutcome outcome) {
    GangTask task = new GangTask(id, worker, State.ENDED);
    task.outcome = outcome;
    return task;
  }

  boolean maybeRuns() {
    return state == State.STARTING || state == State.RUNNING || state == State.STOPPING;
  }

  /** Tells whether the task was started and was not ended other than by itself. */
  boolean isRunningOrDone() {
    return state == State.RUNNING || outcome == TaskOutcome.DONE;
  }

  boolean isBeforeStart() {
    return state.ordinal() < State.STARTING.ordinal();
  }

  void end(TaskOutcome how) {
    state = State.ENDED;
    outcome = how;
    if (worker != null) {
      worker.release(id);
    }
  }
}
