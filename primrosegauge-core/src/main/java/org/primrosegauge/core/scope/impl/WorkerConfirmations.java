package org.primrosegauge.core.scope.impl;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.cfg.ScopeFeature;

/**
 * Makes sure that workers respond before runs are placed on them or preempted there.
 *
 * <p>Covers workers that crash or are partitioned while jobs arrive. A start that a lost worker
 * does not answer keeps its whole gang from being placed again until it is certain that the worker
 * cannot start the run any more, which takes as long as a lease.
 *
 * <p>A worker is confirmed by any response a moment ago. Another one is probed first, which delays
 * the placement by one round trip; one that does not respond in time is not used until it does.
 *
 * <p>Not thread-safe.
 */
final class WorkerConfirmations {

  /** Time for which any response confirms a worker for urgent steps and gangs, in milliseconds. */
  private static final long FRESH_MILLIS = 100;

  /**
   * The same for tasks that can be started again elsewhere without others. A worker with runs
   * responds to a poll at least this often.
   */
  private static final long FRESH_FOR_SINGLE_MILLIS = 1_100;

  /**
   * Time after a probe for which the response to it confirms a worker, in milliseconds. Longer than
   * the pause between two planning passes on a busy leader.
   */
  private static final long PROBE_VALID_MILLIS = 600;

  /** Time after which an unanswered probe is repeated over another connection, in milliseconds. */
  private static final long PROBE_RETRY_MILLIS = 300;

  private final ScopeState state;
  private long nextRetryMillis = Long.MAX_VALUE;

  WorkerConfirmations(ScopeState state) {
    this.state = state;
  }

  /**
   * Returns whether all of the workers are confirmed. Probes those that are not.
   *
   * @param demand step that the workers are to be used for
   * @param workers workers, some of them possibly several times
   */
  boolean confirmAll(Demand demand, Collection<WorkerSession> workers, long nowMillis) {
    if (!state.settings.isEnabled(ScopeFeature.WORKER_CONFIRMATION)) {
      return true;
    }
    Set<WorkerSession> unconfirmed = new LinkedHashSet<>();
    for (WorkerSession worker : workers) {
      if (!isConfirmed(demand, worker, nowMillis)) {
        unconfirmed.add(worker);
      }
    }
    state.examined(workers.size());
    unconfirmed.forEach(worker -> probe(worker, nowMillis));
    return unconfirmed.isEmpty();
  }

  /** Tells whether a worker has responded so recently that runs may be placed on it. */
  boolean isConfirmed(Demand demand, WorkerSession worker, long nowMillis) {
    boolean isSingle = !demand.spec().gang() && demand.priority() != ScopeState.URGENT;
    long freshMillis = isSingle ? FRESH_FOR_SINGLE_MILLIS : FRESH_MILLIS;
    boolean isProbeAnswered =
        worker.lastResponseMillis >= worker.probeSentMillis
            && nowMillis - worker.probeSentMillis <= PROBE_VALID_MILLIS;
    boolean isFresh = nowMillis - worker.lastResponseMillis <= freshMillis;
    return worker.confirmed && (isProbeAnswered || isFresh);
  }

  /** Probes a worker unless the response to a probe is still expected. */
  void probe(WorkerSession worker, long nowMillis) {
    long responseDueMillis = nowMillis + WorkerSession.PROBE_TIMEOUT_MILLIS;
    nextRetryMillis = Math.min(nextRetryMillis, responseDueMillis + 1);
    boolean isPending = nowMillis - worker.probeSentMillis < PROBE_RETRY_MILLIS;
    if (isPending || !worker.confirmed && worker.pollInFlight) {
      return;
    }
    worker.probeSentMillis = nowMillis;
    worker.probeUnansweredSinceMillis = Math.min(worker.probeUnansweredSinceMillis, nowMillis);
    state.emit(
        new ScopeAction.Probe(
            worker.info.key(), worker.info.address(), worker.acknowledgedEnd, state.term));
  }

  /**
   * Returns the monotonic time at which placements that wait for a confirmation are to be retried,
   * in milliseconds; {@link Long#MAX_VALUE} if none was requested since the last call.
   */
  long takeNextRetryMillis() {
    long next = nextRetryMillis;
    nextRetryMillis = Long.MAX_VALUE;
    return next;
  }
}
