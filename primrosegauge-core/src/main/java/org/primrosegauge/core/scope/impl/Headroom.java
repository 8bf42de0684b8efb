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
  private static final long WINDOW_MILLIS = 10_000;

  /** Time for whose expected arrivals workers are kept free, in milliseconds. */
  private static final long AHEAD_MILLIS = 2_000;

  /** Largest part of the workers that is kept free. */
  private static final double MOST_SHARE = 0.25;

  /** Part of the time until its objective for which a small task may be kept waiting. */
  private static final double PATIENCE = 0.5;

  /** Pause after which waiting tasks are tried again, in milliseconds, while any is kept back. */
  private static final long RETRY_MILLIS = 500;

  private final ScopeState state;
  private final RoomIndex index;
  private final Deque<ScopeJob> arrivals = new ArrayDeque<>();
  private final Set<WorkerSession> kept = new HashSet<>();
  private boolean isChosen;
  private boolean hasKept;

  Headroom(ScopeState state, RoomIndex index) {
    this.state = state;
    this.index = index;
  }

  /** Notes a job that has been accepted. */
  void noteArrival(JobEntry entry) {
    if (isExpected(state.priorityOf(entry), entry.job().steps().get(0))) {
      arrivals.addLast(entry.job());
    }
  }

  /** Releases all workers; others are chosen when the first small task asks for one. */
  void renew() {
    hasKept = false;
    isChosen = false;
    kept.clear();
  }

  private void choose(ClockReading present) {
    isChosen = true;
    long since = present.wallMillis() - WINDOW_MILLIS;
    state.examined(arrivals.size());
    arrivals.removeIf(job -> job.submittedMillis() <= since);
    for (ServiceId pool : index.pools()) {
      keep(pool, index.workers(pool, ""));
    }
  }

  private void keep(ServiceId pool, RoomIndex.Group workers) {
    int accelerators = workers.capacity().accelerators();
    if (accelerators == 0) {
      return;
    }
    double share = Math.min(MOST_SHARE, expectedAccelerators(pool) / accelerators);
    int count = (int) Math.round(share * workers.size());
    state.examined(count);
    kept.addAll(workers.emptiest(count));
  }

  /** Tells whether a worker is kept from a demand. */
  boolean keepsFrom(Demand demand, WorkerSession worker, ClockReading present) {
    if (!canWait(demand, present)) {
      return false;
    }
    if (!isChosen) {
      choose(present);
    }
    boolean isKept = kept.contains(worker);
    hasKept |= isKept;
    return isKept;
  }

  /** Returns when waiting tasks are to be tried again; the largest value when none is kept back. */
  long nextRetryMillis(ClockReading present) {
    return hasKept ? present.monotonicMillis() + RETRY_MILLIS : Long.MAX_VALUE;
  }

  private static boolean canWait(Demand demand, ClockReading present) {
    long begin = demand.job().job().submittedMillis();
    double until = begin + PATIENCE * (demand.objectiveMillis() - begin);
    return !isExpected(demand.priority(), demand.spec()) && present.wallMillis() < until;
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
    return asked * AHEAD_MILLIS / WINDOW_MILLIS;
  }

  private static boolean isExpected(int priority, StepSpec step) {
    return priority == ScopeState.URGENT || step.gang();
  }
}
