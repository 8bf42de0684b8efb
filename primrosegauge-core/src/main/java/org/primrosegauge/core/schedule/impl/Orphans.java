package org.primrosegauge.core.schedule.impl;

import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.core.schedule.StopMode;

/**
 * Tasks that run on a worker although their attempt is over. They are stopped, keep their capacity
 * until they are gone, and their job starts no new attempt before.
 */
final class Orphans {

  private Orphans() {}

  static boolean isOrphan(DomainState state, TaskId id) {
    Gang gang = state.gangs.get(id.job());
    GangTask task = gang == null ? null : gang.task(id);
    return task == null || task.state == GangTask.State.ENDED;
  }

  /** Sends a stop to every orphan and counts them anew. */
  static void stopAll(DomainState state) {
    state.orphans.clear();
    for (Worker worker : state.fleet.workers()) {
      for (TaskId id : worker.held.keySet()) {
        if (isOrphan(state, id)) {
          state.orphans.merge(id.job(), 1, Integer::sum);
          state.emit(new SchedulerAction.Stop(worker.id, id, StopMode.STOP, state.term));
        }
      }
    }
  }

  /** Forgets an orphan that has ended on its worker. */
  static void ended(DomainState state, TaskId id) {
    for (Worker worker : state.fleet.workers()) {
      if (worker.held.containsKey(id)) {
        worker.release(id);
        state.capacityChanged = true;
        recount(state);
        return;
      }
    }
  }

  /** Counts the orphans anew after a change of the fleet. */
  static void recount(DomainState state) {
    state.orphans.clear();
    for (Worker worker : state.fleet.workers()) {
      for (TaskId id : worker.held.keySet()) {
        if (isOrphan(state, id)) {
          state.orphans.merge(id.job(), 1, Integer::sum);
        }
      }
    }
  }
}
