package org.primrosegauge.core.scope;

import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.Term;

/**
 * Action that the caller of a {@link ScopeScheduler} has to carry out.
 *
 * @since 0.2
 */
public sealed interface ScopeAction {

  /**
   * Proposes a command to the replicated log. If the command is not applied, the caller calls
   * {@link ScopeScheduler#proposalFailed}.
   *
   * @param command command
   * @since 0.2
   */
  record Propose(ScopeCommand command) implements ScopeAction {}

  /**
   * Requests a worker to start a run.
   *
   * @param worker worker incarnation
   * @param address address on which the worker accepts requests
   * @param run run to start
   * @param payload payload of the job
   * @param deadlineMillis time on the worker's clock after which it must not start the run, in
   *     milliseconds
   * @param term fencing token
   * @param checkpoint checkpoint to resume from; empty for none
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
   * Requests a worker to stop a run, or never to start it if its start request has not arrived yet.
   *
   * @param worker worker incarnation
   * @param address address on which the worker accepts requests
   * @param run run to stop
   * @param term fencing token
   * @since 0.2
   */
  record Stop(WorkerKey worker, HostPort address, RunId run, Term term) implements ScopeAction {}

  /**
   * Polls a worker: renews the lease of all its runs and asks which runs are active and which have
   * ended.
   *
   * @param worker worker incarnation
   * @param address address on which the worker accepts requests
   * @param deadlineMillis end of the lease on the worker's clock, in milliseconds; 0 to leave the
   *     lease unchanged
   * @param lastEnd number of the last end that the worker may discard
   * @param waitMillis maximum time for which the worker may delay its response while it waits for a
   *     run to end, in milliseconds
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
   * Asks a worker for a response, to confirm that it can be reached. Changes nothing there.
   *
   * @param worker worker incarnation
   * @param address address on which the worker accepts requests
   * @param lastEnd number of the last end that the worker may discard
   * @param term fencing token
   * @since 0.4
   */
  record Probe(WorkerKey worker, HostPort address, long lastEnd, Term term) implements ScopeAction {

    /**
     * Returns the poll that confirms the worker: it renews nothing and is answered at once.
     *
     * @since 0.4
     */
    public Poll toPoll() {
      return new Poll(worker, address, 0, lastEnd, 0, term);
    }
  }

  /**
   * Reports an event for logs and metrics.
   *
   * @param event event to report
   * @since 0.2
   */
  record Report(ScopeEvent event) implements ScopeAction {}
}
