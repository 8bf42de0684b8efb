package org.primrosegauge.core.scope.impl;

import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.Placement;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.StepSpec;

/**
 * State of a run that the leader keeps in addition to the ledger: the progress of its start and of
 * its execution.
 *
 * <p>Not thread-safe. Lives as long as the leader's term or the run.
 */
public final class RunState {

  private static final int CORES_PER_ACCELERATOR = 8;

  private static final int COMPLETE_PERCENT = 100;

  /** Multiple of its expected run time up to which a run is expected to end soon. */
  private static final int MAX_OVERRUN_FACTOR = 2;

  /** Progress from which on the remaining run time is estimated from it. */
  private static final int MIN_PROGRESS_PERCENT = 5;

  /** Phase of a run. */
  public enum Phase {
    /** The placement is proposed to the log. */
    PROPOSED,
    /** A start request was sent and its result is not known. */
    STARTING,
    /** The worker has the run. */
    RUNNING,
    /** The outcome of its start is unknown, so a stop request was sent. */
    IN_DOUBT,
    /** An earlier leader placed it and the worker has not been polled in this term. */
    RECOVERED
  }

  final RunId id;
  final WorkerSession worker;
  final JobEntry job;
  final StepSpec spec;
  Phase phase;
  long startDeadline;
  int startTries;

  /** Whether the run was placed in this term and its start has not been attempted yet. */
  boolean isAwaitingStart;

  boolean startUnanswered;
  boolean stopRequested;
  boolean stopInFlight;
  long nextStopMillis;
  long stopConfirmedMillis = Long.MAX_VALUE;
  boolean endProposed;
  long runningSinceMillis;
  int percent;

  /** Whether a stall check is scheduled. */
  boolean stallCheckScheduled;

  long progressMillis;
  String checkpoint = "";

  /** How long the task is expected to run, in milliseconds. */
  final long expectedMillis;

  /** Whether the run time shows how long the task takes: it starts afresh and near its data. */
  boolean isObservable;

  RunState(
      RunId id,
      WorkerSession worker,
      JobEntry job,
      StepSpec spec,
      long expectedMillis,
      Phase phase,
      long nowMillis) {
    this.expectedMillis = expectedMillis;
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

  /** Tells whether the worker may know of the run: its placement is no longer only proposed. */
  boolean isDispatched() {
    return phase != Phase.PROPOSED;
  }

  /** Records that the worker has the run. */
  void markRunning(long nowMillis) {
    if (phase != Phase.RUNNING) {
      phase = Phase.RUNNING;
      runningSinceMillis = nowMillis;
      progressMillis = nowMillis;
    }
  }

  /** Records the progress and the checkpoint that the worker reports. */
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
   * Returns the work that would be lost if the run were stopped now, in core-seconds, with
   * accelerators counted as cores. Nothing is lost by a task with checkpoints, which also saves its
   * progress when it is stopped.
   */
  double unsavedCoreSeconds(long nowMillis) {
    long elapsed = Math.max(0, nowMillis - runningSinceMillis);
    return spec.checkpoints() ? 0 : coreEquivalents() * elapsed / 1_000.0;
  }

  /** Returns the cores that the run uses, with each accelerator counted as several cores. */
  double coreEquivalents() {
    return coreEquivalentsOf(spec.task());
  }

  /** Returns the cores that a task uses, with each accelerator counted as several cores. */
  static double coreEquivalentsOf(Resources task) {
    return task.milliCores() / 1_000.0 + CORES_PER_ACCELERATOR * task.accelerators();
  }

  /**
   * Returns the observed run time of a run that ends now, in milliseconds; 0 if it is not known.
   */
  long observedMillis(long nowMillis) {
    boolean isObserved = isObservable && phase == Phase.RUNNING && !stopRequested;
    return isObserved ? Math.max(1, nowMillis - runningSinceMillis) : 0;
  }

  /** Tells whether the progress is enough to estimate the remaining run time from it. */
  boolean hasProgress() {
    return percent >= MIN_PROGRESS_PERCENT;
  }

  /**
   * Returns an estimate of the remaining run time, in milliseconds. The progress is counted as of
   * the time at which it was reported.
   */
  long remainingMillis(long nowMillis) {
    return Math.max(0, totalMillis() - (nowMillis - runningSinceMillis));
  }

  /**
   * Tells whether the end of the run can be expected. A long-running run has none, and that of a
   * run which takes several times as long as expected is not known.
   */
  boolean hasExpectedEnd(long nowMillis) {
    return !spec.longRunning()
        && nowMillis - runningSinceMillis <= MAX_OVERRUN_FACTOR * totalMillis();
  }

  /** Returns an estimate of the whole run time, in milliseconds. */
  private long totalMillis() {
    long elapsedAtReport = progressMillis - runningSinceMillis;
    boolean isByProgress = hasProgress() && elapsedAtReport > 0;
    return isByProgress ? elapsedAtReport * COMPLETE_PERCENT / percent : expectedMillis;
  }
}
