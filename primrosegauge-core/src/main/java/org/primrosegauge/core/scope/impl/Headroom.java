package org.primrosegauge.core.scope.impl;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.Present;
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

  /** Pause after which the choice is made again, in milliseconds, while tasks are kept waiting. */
  private static final long RENEW_MILLIS = 500;

  private final ScopeState state;
  private final Set<WorkerSession> kept = new HashSet<>();
  private boolean hasKept;

  Headroom(ScopeState state) {
    this.state = state;
  }

  /**
   * Chooses the workers to keep free.
   *
   * @param open workers that may get something new
   */
  void renew(Collection<WorkerSession> open, Present present) {
    kept.clear();
    hasKept = false;
    open.stream()
        .collect(Collectors.groupingBy(worker -> worker.info.pool()))
        .forEach((pool, workers) -> keep(pool, workers, present));
  }

  private void keep(ServiceId pool, List<WorkerSession> workers, Present present) {
    int accelerators =
        workers.stream().mapToInt(worker -> worker.info.capacity().accelerators()).sum();
    if (accelerators == 0) {
      return;
    }
    state.examined(2 * workers.size());
    double share = Math.min(MOST_SHARE, expectedAccelerators(pool, present) / accelerators);
    workers.stream()
        .sorted(
            Comparator.comparingInt((WorkerSession worker) -> -worker.free().accelerators())
                .thenComparingLong(worker -> -worker.free().milliCores()))
        .limit(Math.round(share * workers.size()))
        .forEach(kept::add);
  }

  /** Tells whether a worker is kept from a demand. */
  boolean keepsFrom(Demand demand, WorkerSession worker, Present present) {
    boolean isKept = kept.contains(worker) && canWait(demand, present);
    hasKept |= isKept;
    return isKept;
  }

  /** Returns when the choice is to be made again; the largest value when nothing is kept back. */
  long nextRenewalMillis(Present present) {
    return hasKept ? present.millis() + RENEW_MILLIS : Long.MAX_VALUE;
  }

  private static boolean canWait(Demand demand, Present present) {
    long begin = demand.job().job().submittedMillis();
    double until = begin + PATIENCE * (demand.objectiveMillis() - begin);
    return !isExpected(demand.priority(), demand.spec()) && present.wallMillis() < until;
  }

  /** Returns the accelerators that urgent jobs and gangs are likely to ask for soon. */
  private double expectedAccelerators(ServiceId pool, Present present) {
    long since = present.wallMillis() - WINDOW_MILLIS;
    double asked = 0;
    state.examined(state.ledger.jobs().size());
    for (JobEntry entry : state.ledger.jobs()) {
      ScopeJob job = entry.job();
      StepSpec first = job.steps().get(0);
      boolean isRecent = job.submittedMillis() > since && job.pool().equals(pool);
      if (isRecent && isExpected(state.priorityOf(entry), first)) {
        asked += (double) first.task().accelerators() * first.count();
      }
    }
    return asked * AHEAD_MILLIS / WINDOW_MILLIS;
  }

  private static boolean isExpected(int priority, StepSpec step) {
    return priority == ScopeState.URGENT || step.gang();
  }
}
