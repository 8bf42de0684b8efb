package org.primrosegauge.core.schedule.impl;

import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.schedule.TaskOutcome;

/**
 * Decides what becomes of a job after an attempt: its final answer, or another attempt.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class GangSettlement {

  private final DomainState state;

  GangSettlement(DomainState state) {
    this.state = state;
  }

  /** After an attempt of which nothing was started. */
  void afterAbandon(Gang gang, JobReason why, long nowMillis) {
    if (gang.cancelled) {
      finish(gang, JobPhase.CANCELLED, JobReason.CANCELLED, nowMillis);
    } else if (why == JobReason.RESERVE_REFUSED || why == JobReason.RESERVE_TIMEOUT) {
      gang.refusals++;
      requeue(gang, why, gang.refusals > state.settings.maxRefusals(), nowMillis);
    } else {
      requeue(gang, why, false, nowMillis);
    }
  }

  /** After the last task of an attempt has ended. */
  void afterEnd(Gang gang, long nowMillis) {
    long ran = Math.max(0, nowMillis - gang.startedMillis);
    gang.attainedMillis += ran;
    gang.attainedService += gang.accelerators() * ran;
    boolean failed = gang.ended(TaskOutcome.FAILED);
    boolean lost = gang.ended(TaskOutcome.LOST);
    boolean saved = gang.ended(TaskOutcome.CHECKPOINTED);
    if (!failed && !lost && !saved) {
      finish(gang, JobPhase.SUCCEEDED, JobReason.COMPLETED, nowMillis);
    } else if (gang.cancelled) {
      finish(gang, JobPhase.CANCELLED, JobReason.CANCELLED, nowMillis);
    } else if (gang.stopReason == JobReason.DEADLINE) {
      finish(gang, JobPhase.FAILED, JobReason.DEADLINE, nowMillis);
    } else if (!gang.spec.repeatable() && (failed || lost)) {
      endUnrepeatable(gang, failed, nowMillis);
    } else {
      retry(gang, nowMillis);
    }
  }

  private void endUnrepeatable(Gang gang, boolean failed, long nowMillis) {
    boolean ownFailure = failed && gang.stopReason == JobReason.TASK_FAILED;
    JobPhase phase = ownFailure ? JobPhase.FAILED : JobPhase.OUTCOME_UNKNOWN;
    finish(gang, phase, gang.stopReason, nowMillis);
  }

  private void retry(Gang gang, long nowMillis) {
    JobReason why = gang.stopReason;
    boolean exhausted =
        switch (why) {
          case TASK_FAILED -> ++gang.taskFailures >= state.settings.maxTaskFailures();
          case START_REFUSED, START_TIMEOUT -> ++gang.refusals > state.settings.maxRefusals();
          case WORKER_LOST, TASK_LOST, PARTIAL_GANG -> ++gang.losses > state.settings.maxLosses();
          default -> false;
        };
    requeue(gang, why, exhausted, nowMillis);
  }

  private void requeue(Gang gang, JobReason why, boolean exhausted, long nowMillis) {
    state.deactivate(gang);
    state.capacityChanged = true;
    if (exhausted) {
      state.count(why);
      finish(gang, JobPhase.FAILED, JobReason.RETRIES_EXHAUSTED, nowMillis);
      return;
    }
    boolean wanted = why == JobReason.PREEMPTED || why == JobReason.DEFRAGMENTED;
    gang.notBeforeMillis = wanted ? nowMillis : nowMillis + state.settings.retryBackoffMillis();
    state.enter(gang, JobPhase.QUEUED, why, nowMillis);
    state.enqueue(gang, nowMillis);
  }

  void finish(Gang gang, JobPhase phase, JobReason reason, long nowMillis) {
    state.deactivate(gang);
    state.queue.remove(gang);
    state.inTransition.remove(gang);
    gang.tasks = new GangTask[0];
    state.capacityChanged = true;
    state.enter(gang, phase, reason, nowMillis);
    state.retainFinal(gang);
  }
}
