package org.primrosegauge.core.scope.impl;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.StepSpec;

/**
 * Keeps the emptiest workers free of small tasks that can wait, for urgent jobs and gangs that are
 * expected soon.
 *
 * <p>Answers a stream of urgent gangs on a full fleet: small tasks would take each worker that such
 * a gang leaves, only to be stopped for the next one, which then waits until they have stopped.
 *
 * <p>Not thread-safe.
 */
final class Headroom {

  /** Time over which arrivals are averaged, in milliseconds. */
  private static final long ARRIVAL_WINDOW_MILLIS = 10_000;

  /** Time for whose expected arrivals workers are kept free, in milliseconds. */
  private static final long FORECAST_MILLIS = 2_000;

  /** Largest part of the workers that is kept free. */
  private static final double MAX_SHARE = 0.25;

  /** Part of the time until its objective for which a small task may be kept waiting. */
  private static final double MAX_WAIT_SHARE = 0.5;

  /** Pause after which waiting tasks are tried again, in milliseconds, while any is kept back. */
  private static final long RETRY_MILLIS = 500;

  private final ScopeState state;
  private final FreeCapacityIndex capacityIndex;
  private final Deque<ScopeJob> arrivals = new ArrayDeque<>();
  private final Set<WorkerSession> withheld = new HashSet<>();
  private boolean isSelected;
  private boolean hasWithheld;

  Headroom(ScopeState state, FreeCapacityIndex index) {
    this.state = state;
    this.capacityIndex = index;
  }

  /** Notes a job that has been accepted. */
  void recordArrival(JobEntry entry) {
    if (usesHeadroom(state.priorityOf(entry), entry.job().steps().get(0))) {
      arrivals.addLast(entry.job());
    }
  }

  /** Releases all workers; others are chosen when the first small task asks for one. */
  void releaseAll() {
    hasWithheld = false;
    isSelected = false;
    withheld.clear();
  }

  private void select(ClockReading now) {
    isSelected = true;
    long since = now.wallMillis() - ARRIVAL_WINDOW_MILLIS;
    state.examined(arrivals.size());
    arrivals.removeIf(job -> job.submittedMillis() <= since);
    for (ServiceId pool : capacityIndex.pools()) {
      withholdEmptiest(pool, capacityIndex.workers(pool, ""));
    }
  }

  private void withholdEmptiest(ServiceId pool, FreeCapacityIndex.WorkerGroup workers) {
    int accelerators = workers.capacity().accelerators();
    if (accelerators == 0) {
      return;
    }
    double share = Math.min(MAX_SHARE, expectedAccelerators(pool) / accelerators);
    int count = (int) Math.round(share * workers.size());
    state.examined(count);
    withheld.addAll(workers.emptiest(count));
  }

  /** Tells whether a worker is kept from a demand. */
  boolean withholds(Demand demand, WorkerSession worker, ClockReading now) {
    if (!canWait(demand, now)) {
      return false;
    }
    if (!isSelected) {
      select(now);
    }
    boolean isKept = withheld.contains(worker);
    hasWithheld |= isKept;
    return isKept;
  }

  /** Returns when waiting tasks are to be tried again; the largest value when none is kept back. */
  long nextRetryMillis(ClockReading now) {
    return hasWithheld ? now.monotonicMillis() + RETRY_MILLIS : Long.MAX_VALUE;
  }

  private static boolean canWait(Demand demand, ClockReading now) {
    long begin = demand.job().job().submittedMillis();
    double until = begin + MAX_WAIT_SHARE * (demand.objectiveMillis() - begin);
    return !usesHeadroom(demand.priority(), demand.spec()) && now.wallMillis() < until;
  }

  /** Returns the accelerators that urgent jobs and gangs are likely to ask for soon. */
  private double expectedAccelerators(ServiceId pool) {
    double asked = 0;
    state.examined(arrivals.size());
    for (ScopeJob job : arrivals) {
      StepSpec first = job.steps().get(0);
      if (job.pool().equals(pool)) {
        asked += (double) first.task().accelerators() * first.count();
      }
    }
    return asked * FORECAST_MILLIS / ARRIVAL_WINDOW_MILLIS;
  }

  private static boolean usesHeadroom(int priority, StepSpec step) {
    return priority == ScopeState.URGENT || step.gang();
  }
}
