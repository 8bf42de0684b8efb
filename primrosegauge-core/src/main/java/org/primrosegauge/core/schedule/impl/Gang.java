package org.primrosegauge.core.schedule.impl;

import java.util.HashSet;
import java.util.Set;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.schedule.TaskOutcome;
import org.primrosegauge.core.schedule.cfg.QueuedJob;

/**
 * A job and its present attempt.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class Gang {

  final JobSpec spec;
  final long submittedMillis;
  final long sequence;
  final Set<TargetId> failedWorkers = new HashSet<>();
  Resources demand;
  int attempt;
  JobPhase phase = JobPhase.QUEUED;
  JobReason reason = JobReason.ACCEPTED;
  long reasonSinceMillis;
  long rank;
  long notBeforeMillis;
  long phaseUntilMillis;
  long startedMillis;
  long attainedService;
  GangTask[] tasks = {};
  boolean unconfirmed;
  boolean cancelled;
  JobReason stopReason;
  int taskFailures;
  int losses;
  int refusals;

  Gang(JobSpec spec, long sequence, long nowMillis) {
    this.spec = spec;
    this.sequence = sequence;
    this.submittedMillis = nowMillis;
    this.reasonSinceMillis = nowMillis;
    this.demand = spec.perTask();
  }

  QueuedJob view() {
    return new QueuedJob(
        demand.accelerators() * spec.tasks(),
        spec.tasks(),
        spec.declaredMillis(),
        attainedService,
        submittedMillis);
  }

  int accelerators() {
    return demand.accelerators() * spec.tasks();
  }

  GangTask task(TaskId id) {
    if (id.attempt() != attempt || id.index() >= tasks.length) {
      return null;
    }
    return tasks[id.index()];
  }

  /** Tells whether capacity is booked for the gang before its borrowers have left. */
  boolean isPlanned() {
    return phase == JobPhase.QUEUED && tasks.length > 0 && !unconfirmed;
  }

  boolean allIn(GangTask.State state) {
    for (GangTask task : tasks) {
      if (task.state != state) {
        return false;
      }
    }
    return true;
  }

  boolean noneIn(GangTask.State state) {
    for (GangTask task : tasks) {
      if (task.state == state) {
        return false;
      }
    }
    return true;
  }

  boolean ended(TaskOutcome outcome) {
    for (GangTask task : tasks) {
      if (task.outcome == outcome) {
        return true;
      }
    }
    return false;
  }

  void waitsFor(JobReason why, long nowMillis) {
    if (reason != why) {
      reason = why;
      reasonSinceMillis = nowMillis;
    }
  }
}
