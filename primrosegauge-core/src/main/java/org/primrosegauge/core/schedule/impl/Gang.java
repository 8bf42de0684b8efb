package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
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

  /** What the next attempt asks for, when it differs; the books of the present one stay as is. */
  Resources nextDemand;

  int attempt;
  JobPhase phase = JobPhase.QUEUED;
  JobReason reason = JobReason.ACCEPTED;
  long reasonSinceMillis;
  long rank;
  long notBeforeMillis;
  long queuedMillis;
  long phaseUntilMillis;
  long startedMillis;
  long attainedService;
  long attainedMillis;
  GangTask[] tasks = {};
  boolean unconfirmed;

  /** The attempt whose start is on record and was neither confirmed nor taken back; 0 for none. */
  int startingAttempt;

  boolean cancelled;
  JobReason stopReason;
  final List<ClaimUse> claims = new ArrayList<>();

  /** Workers of tasks that cannot be taken back and run outside a claim; null when none do. */
  List<Worker> firmWorkers;

  Resources firmEach;
  int booked;
  int preemptions;
  boolean promoted;
  boolean wasPromoted;
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
        attainedMillis,
        submittedMillis);
  }

  /** Returns the view of a running gang, with the service of the present attempt. */
  QueuedJob viewAt(long nowMillis) {
    long running = Math.max(0, nowMillis - startedMillis);
    return new QueuedJob(
        accelerators(),
        spec.tasks(),
        spec.declaredMillis(),
        attainedService + running * accelerators(),
        attainedMillis + running,
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
