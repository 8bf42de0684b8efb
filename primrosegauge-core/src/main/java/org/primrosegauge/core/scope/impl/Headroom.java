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
import org.primrosegauge.core.scope.cfg.ScopeFeature;

/**
 * Withholds the workers with the most free capacity from small tasks that can wait, as headroom for
 * urgent jobs and gangs that are expected to arrive soon.
 *
 * <p>Under a stream of urgent gangs on a full fleet, small tasks would take each worker that such a
 * gang leaves, only to be preempted for the next gang, which then has to wait until they have
 * stopped.
 *
 * <p>Not thread-safe.
 */
final class Headroom {

  /** Time over which the arrival rate is averaged, in milliseconds. */
  private static final long ARRIVAL_WINDOW_MILLIS = 10_000;

  /** Time ahead for whose expected arrivals workers are withheld, in milliseconds. */
  private static final long FORECAST_MILLIS = 2_000;

  /** Largest share of a service's workers that may be withheld. */
  private static final double MAX_SHARE = 0.25;

  /** Share of the time between submission and objective for which a small task may be held back. */
  private static final double MAX_WAIT_SHARE = 0.5;

  /** Delay after which waiting tasks are retried while any is held back, in milliseconds. */
  private static final long RETRY_MILLIS = 500;

  private final ScopeState state;
  private final FreeCapacityIndex capacityIndex;
  private final Deque<ScopeJob> arrivals = new ArrayDeque<>();
  private final Set<WorkerSession> withheld = new HashSet<>();
  private boolean isSelected;
  private boolean hasWithheld;

  Headroom(ScopeState state, FreeCapacityIndex capacityIndex) {
    this.state = state;
    this.capacityIndex = capacityIndex;
  }

  /** Records the arrival of an accepted job. */
  void recordArrival(JobEntry entry) {
    if (usesHeadroom(state.priorityOf(entry), entry.job().steps().get(0))) {
      arrivals.addLast(entry.job());
    }
  }

  /** Releases all workers. A new set is selected when the first small task asks for a worker. */
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

  /** Tells whether a worker is withheld from a demand. */
  boolean withholds(Demand demand, WorkerSession worker, ClockReading now) {
    if (!canWait(demand, now) || !state.settings.isEnabled(ScopeFeature.HEADROOM)) {
      return false;
    }
    if (!isSelected) {
      select(now);
    }
    boolean isWithheld = withheld.contains(worker);
    hasWithheld |= isWithheld;
    return isWithheld;
  }

  /**
   * Returns the monotonic time at which waiting tasks are to be retried, in milliseconds; {@link
   * Long#MAX_VALUE} if none is held back.
   */
  long nextRetryMillis(ClockReading now) {
    return hasWithheld ? now.monotonicMillis() + RETRY_MILLIS : Long.MAX_VALUE;
  }

  private static boolean canWait(Demand demand, ClockReading now) {
    long submittedMillis = demand.job().job().submittedMillis();
    double until = submittedMillis + MAX_WAIT_SHARE * (demand.objectiveMillis() - submittedMillis);
    return !usesHeadroom(demand.priority(), demand.spec()) && now.wallMillis() < until;
  }

  /**
   * Returns the accelerators that urgent jobs and gangs are expected to request within the forecast
   * time, extrapolated from their recent arrivals.
   */
  private double expectedAccelerators(ServiceId pool) {
    double accelerators = 0;
    state.examined(arrivals.size());
    for (ScopeJob job : arrivals) {
      StepSpec first = job.steps().get(0);
      if (job.pool().equals(pool)) {
        accelerators += (double) first.task().accelerators() * first.count();
      }
    }
    return accelerators * FORECAST_MILLIS / ARRIVAL_WINDOW_MILLIS;
  }

  private static boolean usesHeadroom(int priority, StepSpec step) {
    return priority == ScopeState.URGENT || step.gang();
  }
}
