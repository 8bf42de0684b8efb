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

  private static final int FAILURES_BEFORE_ASIDE = 2;
  private static final long PERCENT = 100;

  /** Listener of a worker whose room nobody follows. */
  static final Consumer<WorkerSession> NO_LISTENER = worker -> {};

  final WorkerInfo info;
  final Map<RunId, RunControl> runs = new LinkedHashMap<>();
  private final Map<StepKey, Integer> tasks = new HashMap<>();
  private int orderedRuns;

  /** Called after its free room has changed. */
  Consumer<WorkerSession> roomListener = NO_LISTENER;

  /** Number that changes with each run that is added or removed. */
  long runsVersion;

  private Resources used = Resources.NONE;
  private Resources reserved = Resources.NONE;
  long sequence = -1;
  boolean draining;
  long drainEndMillis;
  boolean left;

  /** Whether it has said that it ends now; a worker that only drains may run on for long. */
  boolean saidItEnds;

  boolean confirmed;
  boolean lookInFlight;
  long lookSentMillis;
  long nextLookMillis;

  /** Earliest time for which it waits in the queue of looks. */
  long queuedLookMillis = Long.MAX_VALUE;

  int lookFailures;
  long heardMillis;
  long answeredMillis;
  long clockMillis;
  long clockAtMillis = Long.MIN_VALUE;
  long longestDeadline;
  long lapseNotBeforeMillis;

  /** Whether the log says that leases here are renewed no more. */
  boolean renewalSuspended;

  /** Whether a command that changes this is on its way into the log. */
  boolean renewalSwitchProposed;

  long proposedEnd;
  long toldEnd;
  long asideUntilMillis;
  private int failures;

  WorkerSession(WorkerInfo info, long nowMillis, long silentSinceMillis) {
    this.info = info;
    this.heardMillis = silentSinceMillis;
    this.answeredMillis = nowMillis;
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

  void add(RunControl run) {
    runs.put(run.id, run);
    tasks.merge(run.id.task().stepKey(), 1, Integer::sum);
    orderedRuns += run.isOrdered() ? 1 : 0;
    used = used.plus(run.spec.task());
    runsVersion++;
    roomListener.accept(this);
  }

  void remove(RunControl run) {
    if (runs.remove(run.id) != null) {
      tasks.computeIfPresent(
          run.id.task().stepKey(), (step, count) -> count == 1 ? null : count - 1);
      orderedRuns -= run.isOrdered() ? 1 : 0;
      used = used.minus(run.spec.task());
      runsVersion++;
      roomListener.accept(this);
    }
  }

  void reserve(Resources need) {
    reserved = reserved.plus(need);
    roomListener.accept(this);
  }

  void release(Resources need) {
    reserved = reserved.minus(need);
    roomListener.accept(this);
  }

  long tasksOf(StepKey step) {
    return tasks.getOrDefault(step, 0);
  }

  /** Notes that the worker is told of a run. */
  void order(RunControl run) {
    orderedRuns += run.isOrdered() ? 0 : 1;
    run.phase = RunControl.Phase.STARTING;
  }

  /** Tells whether the worker has been told of any run here. */
  boolean hasOrderedRuns() {
    return orderedRuns > 0;
  }

  // Contact

  void heard(WorkerHeartbeat status, long nowMillis) {
    sequence = status.sequence();
    heardMillis = nowMillis;
    if (status.isDraining()) {
      draining = true;
      drainEndMillis = nowMillis + status.drainRemainingMillis();
    } else {
      draining = false;
    }
    if (!knowsClock()) {
      noteClock(status.clockMillis(), nowMillis);
    }
  }

  void noteClock(long clock, long nowMillis) {
    clockMillis = clock;
    clockAtMillis = nowMillis;
  }

  /** Tells whether the worker's clock is known, so that orders can carry deadlines. */
  boolean knowsClock() {
    return clockAtMillis != Long.MIN_VALUE;
  }

  /** Returns an estimate of the worker's clock. */
  long clockAt(long nowMillis) {
    return clockMillis + (nowMillis - clockAtMillis);
  }

  /** Tells whether the lease of all that runs here is over on the slowest clock allowed. */
  boolean hasLapsed(long nowMillis, int clockErrorPercent, long slackMillis) {
    if (!confirmed && nowMillis < lapseNotBeforeMillis) {
      return false;
    }
    if (!knowsClock()) {
      return nowMillis >= lapseNotBeforeMillis;
    }
    long least =
        clockMillis + (nowMillis - clockAtMillis) * (PERCENT - clockErrorPercent) / PERCENT;
    return least > longestDeadline + slackMillis && nowMillis >= lapseNotBeforeMillis;
  }

  boolean isSilent(long nowMillis, long silenceMillis) {
    return nowMillis - Math.max(heardMillis, confirmed ? answeredMillis : heardMillis)
        > silenceMillis;
  }

  // Trust

  /** Counts a failed run; returns whether the worker is to be set aside. */
  boolean failed() {
    failures++;
    return failures >= FAILURES_BEFORE_ASIDE;
  }

  void succeeded() {
    failures = 0;
  }

  int failures() {
    return failures;
  }
}
