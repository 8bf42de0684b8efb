package org.primrosegauge.core.scope;

import java.util.List;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.scope.cfg.ScopeSettings;
import org.primrosegauge.core.scope.impl.ScopeCore;

/**
 * Scheduler of a scope, run by the leader of the replicated log. Each method takes one event and
 * the current time, and returns the actions to carry out, in order.
 *
 * <p>Event methods only update state. {@link #plan} and {@link #pollWorkers} return the starts and
 * polls that follow; the caller may batch any number of events before it calls them. Both must be
 * called soon after each event: until then no run starts and no worker is polled.
 *
 * <p>Decisions are based on a {@link ScopeLedger} that has applied all committed commands. A run is
 * started only after its placement has been committed, so a later leader knows each run that may
 * still be running. Requests to workers carry the term of the log as fencing token. The caller may
 * send them only if the log's leader held a valid lease at the time that it passed in.
 *
 * <p>Not thread-safe; owned by one thread. Life-cycle: {@link #startLeading} once this replica
 * leads and has applied all committed commands, {@link #stopLeading} when it no longer leads; both
 * any number of times.
 *
 * @since 0.2
 */
public final class ScopeScheduler {

  private final ScopeCore core;

  /**
   * Creates a scheduler that is not leading.
   *
   * @param ledger state to which the caller applies committed commands
   * @param settings timing and failure-detection settings
   * @since 0.2
   */
  public ScopeScheduler(ScopeLedger ledger, ScopeSettings settings) {
    core = new ScopeCore(ledger, settings);
  }

  // Leadership

  /**
   * Starts scheduling as the leader of a term.
   *
   * @since 0.2
   */
  public List<ScopeAction> startLeading(Term term, ClockReading now) {
    core.startLeading(term, now);
    return core.takeActions();
  }

  /**
   * Stops scheduling and discards all state that is not in the ledger.
   *
   * @since 0.2
   */
  public void stopLeading() {
    core.stopLeading();
  }

  /**
   * Returns whether this scheduler is leading.
   *
   * @since 0.2
   */
  public boolean isLeading() {
    return core.isLeading();
  }

  /**
   * Returns the number of workers, runs, jobs and tasks examined so far. The time that decisions
   * take is proportional to it.
   *
   * @since 0.3
   */
  public long examined() {
    return core.examined();
  }

  // Log

  /**
   * Handles a command that the ledger has just applied. Called on followers too.
   *
   * @since 0.2
   */
  public List<ScopeAction> applied(ScopeCommand command, ClockReading now) {
    core.applied(command, now);
    return core.takeActions();
  }

  /**
   * Handles the replacement of the whole ledger state. Must not be called while leading.
   *
   * @since 0.3
   */
  public void restored() {
    core.restored();
  }

  /**
   * Handles a proposed command that the log did not apply.
   *
   * @since 0.2
   */
  public List<ScopeAction> proposalFailed(ScopeCommand command, ClockReading now) {
    if (!core.isLeading()) {
      return List.of();
    }
    core.proposalFailed(command);
    return core.takeActions();
  }

  // Workers

  /**
   * Handles a heartbeat of a worker.
   *
   * @since 0.2
   */
  public List<ScopeAction> handleHeartbeat(WorkerHeartbeat heartbeat, ClockReading now) {
    core.handleHeartbeat(heartbeat, now);
    return core.takeActions();
  }

  /**
   * Handles the notification of a worker that it is shutting down.
   *
   * @since 0.2
   */
  public List<ScopeAction> workerLeft(TargetId target, ClockReading now) {
    core.workerLeft(target, now);
    return core.takeActions();
  }

  /**
   * Handles the result of a start request. Results of requests of an earlier term are ignored.
   *
   * @param clockMillis time on the worker's clock, in milliseconds; 0 if not reported
   * @since 0.3
   */
  public List<ScopeAction> handleStartResult(
      ScopeAction.Start request, StartResult result, long clockMillis, ClockReading now) {
    if (!core.isLeading(request.term())) {
      return List.of();
    }
    core.handleStartResult(request.run(), result, clockMillis, now);
    return core.takeActions();
  }

  /**
   * Handles the result of a stop request. Results of requests of an earlier term are ignored.
   *
   * @since 0.3
   */
  public List<ScopeAction> handleStopResult(
      ScopeAction.Stop request, StopResult result, ClockReading now) {
    if (!core.isLeading(request.term())) {
      return List.of();
    }
    core.handleStopResult(request.run(), result, now);
    return core.takeActions();
  }

  /**
   * Handles the result of a poll. Results of polls of an earlier term are ignored, as they may
   * predate runs that have started since.
   *
   * @since 0.3
   */
  public List<ScopeAction> handlePollResult(
      ScopeAction.Poll request, PollResult result, ClockReading now) {
    if (!core.isLeading(request.term())) {
      return List.of();
    }
    core.handlePollResult(request.worker(), result, now);
    return core.takeActions();
  }

  /**
   * Handles the result of a probe. Results of probes of an earlier term are ignored.
   *
   * @since 0.4
   */
  public List<ScopeAction> handleProbeResult(
      ScopeAction.Probe request, PollResult result, ClockReading now) {
    if (!core.isLeading(request.term())) {
      return List.of();
    }
    core.handleProbeResult(request.worker(), result, now);
    return core.takeActions();
  }

  /**
   * Handles expired deadlines and time-outs.
   *
   * @since 0.2
   */
  public List<ScopeAction> tick(ClockReading now) {
    if (!core.isLeading()) {
      return List.of();
    }
    core.tick(now);
    return core.takeActions();
  }

  /**
   * Places pending steps on workers, if any event since the last call may allow one to start, and
   * polls the workers whose poll is due.
   *
   * @since 0.3
   */
  public List<ScopeAction> plan(ClockReading now) {
    if (!core.isLeading()) {
      return List.of();
    }
    core.plan(now);
    return core.takeActions();
  }

  /**
   * Polls the workers whose poll is due, which renews their leases. Much cheaper than {@link
   * #plan}, so that leases can be renewed even when planning has to be postponed.
   *
   * @since 0.3
   */
  public List<ScopeAction> pollWorkers(ClockReading now) {
    if (!core.isLeading()) {
      return List.of();
    }
    core.pollWorkers(now);
    return core.takeActions();
  }
}
