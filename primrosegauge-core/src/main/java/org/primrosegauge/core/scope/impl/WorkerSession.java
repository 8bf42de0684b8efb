package org.primrosegauge.core.scope.impl;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;

/**
 * State of one incarnation of a worker that the leader keeps in addition to the ledger.
 *
 * <p>Not thread-safe. Lives as long as the leader's term or the incarnation.
 */
public final class WorkerSession {

  /** Number of jobs of which runs fail on a worker, before it is quarantined. */
  private static final int JOBS_BEFORE_QUARANTINE = 2;

  private static final long PERCENT = 100;

  /** Time within which a worker answers a probe if nothing is wrong, in milliseconds. */
  static final long PROBE_TIMEOUT_MILLIS = 150;

  /** Listener of a worker that is in no index. */
  static final Consumer<WorkerSession> NO_LISTENER = worker -> {};

  final WorkerInfo info;
  final Map<RunId, RunState> runs = new LinkedHashMap<>();
  private final Map<StepKey, Integer> tasksPerStep = new HashMap<>();
  private int dispatchedRuns;

  /** Runs whose start was handed to the client of the workers and has no result yet. */
  final Set<RunState> openStarts = new HashSet<>();

  /** Runs whose start has not left this process, in the order in which they are to be started. */
  final Set<RunState> unsentStarts = new LinkedHashSet<>();

  /** Called after the free capacity has changed. */
  Consumer<WorkerSession> capacityListener = NO_LISTENER;

  /** Version of the set of runs; changes with each run that is added or removed. */
  long runsVersion;

  private Resources used = Resources.NONE;
  private Resources reserved = Resources.NONE;
  long sequence = -1;

  /** Sequence number of the heartbeat that the drain in the log rests on; 0 for none. */
  long drainSequence;

  boolean draining;
  long drainEndMillis;

  /** Whether the worker has said itself that it drains. */
  boolean drainAnnounced;

  boolean removalProposed;

  /** Whether the worker has announced its exit. A worker that only drains may continue for long. */
  boolean exitAnnounced;

  boolean confirmed;
  boolean pollInFlight;

  /** Whether the worker is to be polled even if it has no runs. */
  boolean pollRequested;

  long pollSentMillis;
  long nextPollMillis;

  /**
   * Earliest time for which the session is scheduled in the poll queue; {@link Long#MAX_VALUE} for
   * none.
   */
  long queuedPollMillis = Long.MAX_VALUE;

  int pollFailures;

  /** Time of the last probe, in milliseconds. */
  long probeSentMillis = Long.MIN_VALUE / 2;

  /** Time of the first probe since the last response; {@link Long#MAX_VALUE} for none. */
  long probeUnansweredSinceMillis = Long.MAX_VALUE;

  long lastHeartbeatMillis;
  long lastResponseMillis;
  long clockMillis;
  long clockReadMillis = Long.MIN_VALUE;
  long latestDeadline;
  long earliestExpiryMillis;

  /** Whether the log records that leases of this worker are no longer renewed. */
  boolean renewalSuspended;

  /** Whether a command that changes {@link #renewalSuspended} is proposed. */
  boolean renewalSwitchProposed;

  long proposedEnd;
  long acknowledgedEnd;
  long quarantinedUntilMillis;

  /** Jobs of which runs have failed here since the last success, as many as are of interest. */
  private final Set<JobId> failedJobs = new HashSet<>();

  WorkerSession(WorkerInfo info, long nowMillis, long silentSinceMillis) {
    this.info = info;
    this.lastHeartbeatMillis = silentSinceMillis;
    this.lastResponseMillis = nowMillis;
  }

  Resources free() {
    Resources capacity = info.capacity();
    return new Resources(
        Math.max(0, capacity.milliCores() - used.milliCores() - reserved.milliCores()),
        Math.max(0, capacity.memoryMib() - used.memoryMib() - reserved.memoryMib()),
        Math.max(0, capacity.accelerators() - used.accelerators() - reserved.accelerators()));
  }

  boolean fits(Resources need) {
    return need.plus(used).plus(reserved).fitsIn(info.capacity());
  }

  /** Tells whether a task would fit after the release of some of the capacity in use. */
  boolean fitsWithout(Resources need, Resources released) {
    return need.plus(used).plus(reserved).fitsIn(info.capacity().plus(released));
  }

  void add(RunState run) {
    runs.put(run.id, run);
    tasksPerStep.merge(run.id.task().stepKey(), 1, Integer::sum);
    dispatchedRuns += run.isDispatched() ? 1 : 0;
    used = used.plus(run.spec.task());
    runsVersion++;
    capacityListener.accept(this);
  }

  void remove(RunState run) {
    openStarts.remove(run);
    unsentStarts.remove(run);
    if (runs.remove(run.id) != null) {
      tasksPerStep.computeIfPresent(
          run.id.task().stepKey(), (step, count) -> count == 1 ? null : count - 1);
      dispatchedRuns -= run.isDispatched() ? 1 : 0;
      used = used.minus(run.spec.task());
      runsVersion++;
      capacityListener.accept(this);
    }
  }

  void reserve(Resources need) {
    reserved = reserved.plus(need);
    capacityListener.accept(this);
  }

  void release(Resources need) {
    reserved = reserved.minus(need);
    capacityListener.accept(this);
  }

  long tasksOf(StepKey step) {
    return tasksPerStep.getOrDefault(step, 0);
  }

  /** Marks a run as dispatched to the worker. */
  void markDispatched(RunState run) {
    dispatchedRuns += run.isDispatched() ? 0 : 1;
    run.phase = RunState.Phase.STARTING;
  }

  /** Tells whether there is any run that the worker may know of. */
  boolean hasDispatchedRuns() {
    return dispatchedRuns > 0;
  }

  void recordHeartbeat(WorkerHeartbeat heartbeat, long nowMillis) {
    sequence = heartbeat.sequence();
    lastHeartbeatMillis = nowMillis;
    if (heartbeat.isDraining()) {
      drainEndMillis = nowMillis + heartbeat.drainRemainingMillis();
    }
    draining = heartbeat.isDraining();
    drainAnnounced = draining;
    if (!knowsClock()) {
      recordClock(heartbeat.clockMillis(), nowMillis);
    }
  }

  void recordClock(long clock, long nowMillis) {
    clockMillis = clock;
    clockReadMillis = nowMillis;
  }

  /** Tells whether the worker's clock is known, so that requests can carry deadlines. */
  boolean knowsClock() {
    return clockReadMillis != Long.MIN_VALUE;
  }

  /** Returns an estimate of the worker's clock, in milliseconds. */
  long clockAt(long nowMillis) {
    return clockMillis + (nowMillis - clockReadMillis);
  }

  /**
   * Tells whether the lease of all runs of the worker has expired even if its clock is as slow as
   * allowed.
   */
  boolean isLeaseExpired(long nowMillis, int maxClockDriftPercent, long slackMillis) {
    if (!confirmed && nowMillis < earliestExpiryMillis) {
      return false;
    }
    if (!knowsClock()) {
      return nowMillis >= earliestExpiryMillis;
    }
    long minClockMillis =
        clockMillis + (nowMillis - clockReadMillis) * (PERCENT - maxClockDriftPercent) / PERCENT;
    return minClockMillis > latestDeadline + slackMillis && nowMillis >= earliestExpiryMillis;
  }

  /** Records that the worker has responded to a request. */
  void recordResponse(long nowMillis) {
    lastResponseMillis = nowMillis;
    probeUnansweredSinceMillis = Long.MAX_VALUE;
  }

  /** Tells whether the worker has answered its polls, and its probes in time. */
  boolean isResponsive(long nowMillis) {
    return pollFailures == 0
        && (probeUnansweredSinceMillis == Long.MAX_VALUE
            || nowMillis - probeUnansweredSinceMillis <= PROBE_TIMEOUT_MILLIS);
  }

  boolean isSilent(long nowMillis, long silenceTimeoutMillis) {
    return nowMillis
            - Math.max(lastHeartbeatMillis, confirmed ? lastResponseMillis : lastHeartbeatMillis)
        > silenceTimeoutMillis;
  }

  /**
   * Records a failed run; returns whether the worker is to be quarantined, as runs of several jobs
   * fail there.
   */
  boolean recordFailure(JobId job) {
    if (failedJobs.size() < JOBS_BEFORE_QUARANTINE) {
      failedJobs.add(job);
    }
    return failedJobs.size() >= JOBS_BEFORE_QUARANTINE;
  }

  void recordSuccess() {
    failedJobs.clear();
  }

  /** Returns whether a run has failed here since the last success. */
  boolean hasFailures() {
    return !failedJobs.isEmpty();
  }
}
