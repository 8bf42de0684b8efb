package org.primrosegauge.core.scope.impl;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;

/**
 * What the leader knows of one lifetime of a worker beyond the ledger.
 *
 * <p>Not thread-safe; lives as long as the leader's term or the worker.
 */
public final class WorkerSession {

  private static final int FAILURES_BEFORE_QUARANTINE = 2;
  private static final long PERCENT = 100;

  /** Listener of a worker whose room nobody follows. */
  static final Consumer<WorkerSession> NO_LISTENER = worker -> {};

  final WorkerInfo info;
  final Map<RunId, RunState> runs = new LinkedHashMap<>();
  private final Map<StepKey, Integer> tasksPerStep = new HashMap<>();
  private int dispatchedRuns;

  /** Called after its free room has changed. */
  Consumer<WorkerSession> capacityListener = NO_LISTENER;

  /** Number that changes with each run that is added or removed. */
  long runsVersion;

  private Resources used = Resources.NONE;
  private Resources reserved = Resources.NONE;
  long sequence = -1;
  boolean draining;
  long drainEndMillis;
  boolean removalProposed;

  /** Whether it has said that it ends now; a worker that only drains may run on for long. */
  boolean exitAnnounced;

  boolean confirmed;
  boolean pollInFlight;
  long pollSentMillis;
  long nextPollMillis;

  /** Earliest time for which it waits in the queue of looks. */
  long queuedPollMillis = Long.MAX_VALUE;

  int pollFailures;
  long lastHeartbeatMillis;
  long lastResponseMillis;
  long clockMillis;
  long clockReadMillis = Long.MIN_VALUE;
  long latestDeadline;
  long earliestExpiryMillis;

  /** Whether the log says that leases here are renewed no more. */
  boolean renewalSuspended;

  /** Whether a command that changes this is on its way into the log. */
  boolean renewalSwitchProposed;

  long proposedEnd;
  long acknowledgedEnd;
  long quarantinedUntilMillis;
  private int consecutiveFailures;

  WorkerSession(WorkerInfo info, long nowMillis, long silentSinceMillis) {
    this.info = info;
    this.lastHeartbeatMillis = silentSinceMillis;
    this.lastResponseMillis = nowMillis;
  }

  // Room

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

  /** Tells whether a task would fit if some of what runs here had ended. */
  boolean fitsWithout(Resources need, Resources ended) {
    return need.plus(used).plus(reserved).fitsIn(info.capacity().plus(ended));
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

  /** Notes that the worker is told of a run. */
  void markDispatched(RunState run) {
    dispatchedRuns += run.isDispatched() ? 0 : 1;
    run.phase = RunState.Phase.STARTING;
  }

  /** Tells whether the worker has been told of any run here. */
  boolean hasDispatchedRuns() {
    return dispatchedRuns > 0;
  }

  // Contact

  void recordHeartbeat(WorkerHeartbeat status, long nowMillis) {
    sequence = status.sequence();
    lastHeartbeatMillis = nowMillis;
    if (status.isDraining()) {
      draining = true;
      drainEndMillis = nowMillis + status.drainRemainingMillis();
    } else {
      draining = false;
    }
    if (!knowsClock()) {
      recordClock(status.clockMillis(), nowMillis);
    }
  }

  void recordClock(long clock, long nowMillis) {
    clockMillis = clock;
    clockReadMillis = nowMillis;
  }

  /** Tells whether the worker's clock is known, so that orders can carry deadlines. */
  boolean knowsClock() {
    return clockReadMillis != Long.MIN_VALUE;
  }

  /** Returns an estimate of the worker's clock. */
  long clockAt(long nowMillis) {
    return clockMillis + (nowMillis - clockReadMillis);
  }

  /** Tells whether the lease of all that runs here is over on the slowest clock allowed. */
  boolean isLeaseExpired(long nowMillis, int clockErrorPercent, long slackMillis) {
    if (!confirmed && nowMillis < earliestExpiryMillis) {
      return false;
    }
    if (!knowsClock()) {
      return nowMillis >= earliestExpiryMillis;
    }
    long least =
        clockMillis + (nowMillis - clockReadMillis) * (PERCENT - clockErrorPercent) / PERCENT;
    return least > latestDeadline + slackMillis && nowMillis >= earliestExpiryMillis;
  }

  boolean isSilent(long nowMillis, long silenceMillis) {
    return nowMillis
            - Math.max(lastHeartbeatMillis, confirmed ? lastResponseMillis : lastHeartbeatMillis)
        > silenceMillis;
  }

  // Trust

  /** Counts a failed run; returns whether the worker is to be set aside. */
  boolean recordFailure() {
    consecutiveFailures++;
    return consecutiveFailures >= FAILURES_BEFORE_QUARANTINE;
  }

  void recordSuccess() {
    consecutiveFailures = 0;
  }

  int consecutiveFailures() {
    return consecutiveFailures;
  }
}
