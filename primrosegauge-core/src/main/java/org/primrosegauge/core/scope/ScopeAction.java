package org.primrosegauge.core.scope;

import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.Term;

/**
 * What the caller of a {@link ScopeScheduler} has to do.
 *
 * @since 0.2
 */
public sealed interface ScopeAction {

  /**
   * Proposes a command to the replicated log. When it is not applied, the caller reports {@link
   * ScopeScheduler#proposalFailed}.
   *
   * @param command command
   * @since 0.2
   */
  record Propose(ScopeCommand command) implements ScopeAction {}

  /**
   * Orders a worker to start a run.
   *
   * @param worker worker and lifetime
   * @param address where it takes orders
   * @param run run
   * @param payload text of the job
   * @param deadlineMillis time on the worker's clock after which it must not start
   * @param term fencing token
   * @param checkpoint state to resume from; empty for none
   * @since 0.2
   */
  record Start(
      WorkerKey worker,
      HostPort address,
      RunId run,
      String payload,
      long deadlineMillis,
      Term term,
      String checkpoint)
      implements ScopeAction {}

  /**
   * Orders a worker to stop a run, and never to start it if it is not there yet.
   *
   * @param worker worker and lifetime
   * @param address where it takes orders
   * @param run run
   * @param term fencing token
   * @since 0.2
   */
  record Stop(WorkerKey worker, HostPort address, RunId run, Term term) implements ScopeAction {}

  /**
   * Renews the lease of all that runs on a worker and asks what runs and what has ended.
   *
   * @param worker worker and lifetime
   * @param address where it takes orders
   * @param deadlineMillis end of the lease on the worker's clock; 0 to leave it as it is
   * @param lastEnd number of the last end that the worker may forget
   * @param waitMillis longest time that the answer may wait for an end
   * @param term fencing token
   * @since 0.2
   */
  record Poll(
      WorkerKey worker,
      HostPort address,
      long deadlineMillis,
      long lastEnd,
      long waitMillis,
      Term term)
      implements ScopeAction {}

  /**
   * Reports a decision, for logs and counters.
   *
   * @param event decision
   * @since 0.2
   */
  record Report(ScopeEvent event) implements ScopeAction {}
}
