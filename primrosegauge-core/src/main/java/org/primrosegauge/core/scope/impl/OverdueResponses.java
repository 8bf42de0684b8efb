package org.primrosegauge.core.scope.impl;

import java.util.Optional;
import org.primrosegauge.core.scope.ScopeEvent;
import org.primrosegauge.core.scope.ScopeEvent.Kind;
import org.primrosegauge.core.scope.cfg.ScopeFeature;

/**
 * Probes workers whose response is overdue.
 *
 * <p>Covers requests that are lost, or carried out seconds late, while the worker is well. A poll
 * that waits for the end of a run is given up only after its timeout; ends that happen meanwhile
 * are seen sooner in the response to a probe. Gangs wait for the last of many runs that are stopped
 * for them, so one such poll is enough to hold one back.
 *
 * <p>Not thread-safe.
 */
final class OverdueResponses {

  /** Time after the latest expected response at which a worker is probed, in milliseconds. */
  private static final long SLACK_MILLIS = 100;

  /** Interval between two probes while a response is overdue, in milliseconds. */
  private static final long INTERVAL_MILLIS = 300;

  /**
   * What is expected of a worker.
   *
   * @param worker worker
   * @param pollSentMillis when the poll was sent whose response is expected
   * @param stopped run whose end is expected instead; null for a poll
   */
  record Expectation(WorkerSession worker, long pollSentMillis, RunState stopped) {}

  private final ScopeState state;
  private final WorkerConfirmations confirmations;

  OverdueResponses(ScopeState state, WorkerConfirmations confirmations) {
    this.state = state;
    this.confirmations = confirmations;
  }

  /** Expects the response to a poll that was sent. */
  void expectPoll(WorkerSession worker, long waitMillis, long nowMillis) {
    add(new Expectation(worker, worker.pollSentMillis, null), nowMillis + waitMillis);
  }

  /** Expects the end of a run whose stop the worker has confirmed. */
  void expectEnd(RunState stopped, long nowMillis) {
    add(
        new Expectation(stopped.worker, 0, stopped),
        nowMillis + state.settings.stopTimeoutMillis());
  }

  private void add(Expectation expected, long latestMillis) {
    if (state.settings.isEnabled(ScopeFeature.OVERDUE_PROBES)) {
      state.expectations.add(expected, latestMillis + SLACK_MILLIS);
    }
  }

  /** Probes the workers that have not met what is expected of them by now. */
  void probeDue(long nowMillis) {
    Optional<Expectation> next = state.expectations.take(nowMillis);
    while (next.isPresent()) {
      state.examined(1);
      Expectation expected = next.get();
      if (isOverdue(expected)) {
        confirmations.probe(expected.worker(), nowMillis);
        report(expected);
        state.expectations.add(expected, nowMillis + INTERVAL_MILLIS);
      }
      next = state.expectations.take(nowMillis);
    }
  }

  private void report(Expectation expected) {
    String awaited = expected.stopped() == null ? "poll" : "end of " + expected.stopped().id;
    state.report(
        ScopeEvent.of(Kind.WORKER_OVERDUE, expected.worker().info.key(), "awaited=" + awaited));
  }

  private boolean isOverdue(Expectation expected) {
    WorkerSession worker = expected.worker();
    boolean isResponsive =
        state.sessions.get(worker.info.key()) == worker && worker.pollFailures == 0;
    RunState stopped = expected.stopped();
    boolean isUnmet =
        stopped == null
            ? worker.pollInFlight && worker.pollSentMillis == expected.pollSentMillis()
            : state.runs.get(stopped.id) == stopped && !stopped.endProposed;
    return isResponsive && isUnmet;
  }
}
