package org.primrosegauge.core.schedule.impl;

import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.core.schedule.StopMode;
import org.primrosegauge.core.schedule.TaskUsage;

/**
 * Acts on tasks that use more memory than their jobs declared. Work inside its customer's guarantee
 * and work that cannot be taken back is throttled where it runs; a borrower is checkpointed and
 * queued again with the memory that it was seen to use, as long as some worker has so much.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class MemoryGuard {

  /** Use above the declared memory that is let pass, in percent of it. */
  private static final long TOLERATED_PERCENT = 10;

  private static final long WHOLE_PERCENT = 100;

  private final DomainState state;
  private final GangLifecycle lifecycle;

  MemoryGuard(DomainState state, GangLifecycle lifecycle) {
    this.state = state;
    this.lifecycle = lifecycle;
  }

  void check(TaskUsage usage, long nowMillis) {
    TaskId id = usage.task();
    Gang gang = state.gangs.get(id.job());
    GangTask task = gang == null || gang.unconfirmed ? null : gang.task(id);
    if (task == null || gang.phase != JobPhase.RUNNING || !isAbove(usage, gang)) {
      return;
    }
    state.count(JobReason.MEMORY_EXCEEDED);
    if (!Reclaimer.isBorrower(gang) || !raise(gang, usage.used())) {
      state.emit(new SchedulerAction.Stop(task.worker.id, id, StopMode.THROTTLE, state.term));
      return;
    }
    lifecycle.stop(gang, StopMode.CHECKPOINT, JobReason.MEMORY_EXCEEDED, nowMillis);
  }

  private static boolean isAbove(TaskUsage usage, Gang gang) {
    long limit = gang.demand.memoryMib() * (WHOLE_PERCENT + TOLERATED_PERCENT) / WHOLE_PERCENT;
    return usage.used().memoryMib() > limit;
  }

  /** Raises what the next attempt asks for; refuses when the gang would then never fit. */
  private boolean raise(Gang gang, Resources used) {
    Resources raised =
        new Resources(gang.demand.milliCores(), used.memoryMib(), gang.demand.accelerators());
    long slots = 0;
    for (Worker worker : state.fleet.workers()) {
      slots += Worker.slotsIn(worker.capacity, raised);
    }
    if (slots < gang.spec.tasks()) {
      return false;
    }
    gang.nextDemand = raised;
    return true;
  }
}
