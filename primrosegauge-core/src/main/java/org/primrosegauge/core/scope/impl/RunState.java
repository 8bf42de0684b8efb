package org.primrosegauge.core.scope.impl;

import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.Placement;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.StepSpec;

/**
 * What the leader knows of a run beyond the ledger: how far its start got and how it goes on.
 *
 * <p>Not thread-safe; lives as long as the leader's term or the run.
 */
public final class RunState {

  private static final int CORES_PER_ACCELERATOR = 8;

  /** How far a run is. */
  public enum Phase {
    /** The placement is proposed to the log. */
    PROPOSED,
    /** The order to start was sent and not answered. */
    STARTING,
    /** The worker has it. */
    RUNNING,
    /** Its start is in doubt, so it was ordered to stop. */
    IN_DOUBT,
    /** An earlier leader placed it and the worker has not been asked yet. */
    RECOVERED
  }

  final RunId id;
  final WorkerSession worker;
  final JobEntry job;
  final StepSpec spec;
  Phase phase;
  long startDeadline;
  int startTries;
  boolean startInFlight;
  boolean startUnanswered;
  boolean stopRequested;
  boolean stopInFlight;
  long nextStopMillis;
  long stopConfirmedMillis = Long.MAX_VALUE;
  boolean endProposed;
  long runningSinceMillis;
  int percent;

  /** Whether a time is set at which it is looked at for progress. */
  boolean stallCheckScheduled;

  long progressMillis;
  String checkpoint = "";

  RunState(
      RunId id, WorkerSession worker, JobEntry job, StepSpec spec, Phase phase, long nowMillis) {
    this.id = id;
    this.worker = worker;
    this.job = job;
    this.spec = spec;
    this.phase = phase;
    this.runningSinceMillis = nowMillis;
    this.progressMillis = nowMillis;
  }

  boolean isRunning() {
    return phase == Phase.RUNNING;
  }

  /** Tells whether a proposed placement is the one that this run waits for. */
  boolean isPlacedBy(Placement placement) {
    return phase == Phase.PROPOSED && worker.info.key().equals(placement.worker());
  }

  /** Tells whether the worker has been told of it. */
  boolean isDispatched() {
    return phase != Phase.PROPOSED;
  }

  /** Notes that the worker has it. */
  void markRunning(long nowMillis) {
    if (phase != Phase.RUNNING) {
      phase = Phase.RUNNING;
      runningSinceMillis = nowMillis;
      progressMillis = nowMillis;
    }
  }

  /** Notes progress and checkpoint as the worker reports them. */
  void recordProgress(int newPercent, String newCheckpoint, long nowMillis) {
    if (newPercent != percent) {
      percent = newPercent;
      progressMillis = nowMillis;
    }
    if (!newCheckpoint.isEmpty() && !newCheckpoint.equals(checkpoint)) {
      checkpoint = newCheckpoint;
    }
  }

  /**
   * Returns the processor time that would be lost by a stop now, with accelerators weighed in. A
   * task that saves its progress also does so when it is stopped.
   */
  double unsavedCoreSeconds(long nowMillis) {
    long elapsed = Math.max(0, nowMillis - runningSinceMillis);
    return spec.checkpoints() ? 0 : coreEquivalents() * elapsed / 1_000.0;
  }

  /** Returns the cores that the run takes, with each accelerator counted as several. */
  double coreEquivalents() {
    return coreEquivalentsOf(spec.task());
  }

  /** Returns the cores that a task takes, with each accelerator counted as several. */
  static double coreEquivalentsOf(Resources task) {
    return task.milliCores() / 1_000.0 + CORES_PER_ACCELERATOR * task.accelerators();
  }

  /** Returns an estimate of the time that the run still needs, in milliseconds. */
  long remainingMillis(long nowMillis) {
    long elapsed = nowMillis - runningSinceMillis;
    if (percent >= 5 && elapsed > 0) {
      return elapsed * (100 - percent) / percent;
    }
    return Math.max(0, spec.estimatedMillis() - elapsed);
  }
}
