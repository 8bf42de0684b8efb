package org.primrosegauge.core.scope;

import java.util.List;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.scope.cfg.ScopeSettings;
import org.primrosegauge.core.scope.impl.ScopeCore;

/**
 * Scheduler of a scope, as the leader of the replicated log runs it. Each method takes one event
 * and the present, and returns the actions to carry out, in order.
 *
 * <p>Events are noted at once; what they let begin follows from {@link #plan} and {@link
 * #pollWorkers}, which the caller calls once for as many events as it likes. Both must be called
 * soon after each event: until then nothing new starts, and no worker is looked at.
 *
 * <p>It decides from a {@link ScopeLedger} that holds everything committed, and starts a run only
 * after the log has recorded where: a later leader thus knows each run that may be going on. Orders
 * carry the term of the log as fencing token. The caller carries out orders only while the lease of
 * the log's leader was valid at the present that it handed in.
 *
 * <p>Not thread-safe: one thread owns it. Life-cycle: {@link #startLeading} when this replica leads
 * and has applied everything committed, {@link #stopLeading} when it no longer leads; any number of
 * times.
 *
 * @since 0.2
 */
public final class ScopeScheduler {

  private final ScopeCore core;

  /**
   * Creates a scheduler that does not lead.
   *
   * @param ledger state that the caller applies committed commands to
   * @since 0.2
   */
  public ScopeScheduler(ScopeLedger ledger, ScopeSettings settings) {
    core = new ScopeCore(ledger, settings);
  }

  // Office

  /**
   * Begins to decide under a term.
   *
   * @since 0.2
   */
  public List<ScopeAction> startLeading(Term term, ClockReading present) {
    core.startLeading(term, present);
    return core.takeActions();
  }

  /**
   * Stops deciding and forgets all that is not in the ledger.
   *
   * @since 0.2
   */
  public void stopLeading() {
    core.stopLeading();
  }

  /**
   * Tells whether it decides.
   *
   * @since 0.2
   */
  public boolean isLeading() {
    return core.isLeading();
  }

  /**
   * Returns how many workers, runs, jobs and tasks its decisions have looked at so far: what the
   * time that they take follows.
   *
   * @since 0.3
   */
  public long examined() {
    return core.examined();
  }

  // Log

  /**
   * Notes that the ledger has just applied a command, whether this replica leads or not.
   *
   * @since 0.2
   */
  public List<ScopeAction> applied(ScopeCommand command, ClockReading present) {
    core.applied(command, present);
    return core.takeActions();
  }

  /**
   * Notes that the ledger was replaced as a whole. To be called while it does not decide.
   *
   * @since 0.3
   */
  public void restored() {
    core.restored();
  }

  /**
   * Notes that a proposed command was refused by the log.
   *
   * @since 0.2
   */
  public List<ScopeAction> proposalFailed(ScopeCommand command, ClockReading present) {
    if (!core.isLeading()) {
      return List.of();
    }
    core.proposalFailed(command);
    return core.takeActions();
  }

  // Workers

  /**
   * Takes a heartbeat of a worker.
   *
   * @since 0.2
   */
  public List<ScopeAction> handleHeartbeat(WorkerHeartbeat status, ClockReading present) {
    core.handleHeartbeat(status, present);
    return core.takeActions();
  }

  /**
   * Notes that a worker says it ends now.
   *
   * @since 0.2
   */
  public List<ScopeAction> workerLeft(TargetId target, ClockReading present) {
    core.workerLeft(target, present);
    return core.takeActions();
  }

  /**
   * Notes what became of an order to start. An order of an earlier term says nothing any more.
   *
   * @param clockMillis the worker's clock; 0 when it did not say
   * @since 0.3
   */
  public List<ScopeAction> handleStartResult(
      ScopeAction.Start order, StartResult answer, long clockMillis, ClockReading present) {
    if (!core.isLeading(order.term())) {
      return List.of();
    }
    core.handleStartResult(order.run(), answer, clockMillis, present);
    return core.takeActions();
  }

  /**
   * Notes what became of an order to stop, likewise.
   *
   * @since 0.3
   */
  public List<ScopeAction> handleStopResult(
      ScopeAction.Stop order, StopResult answer, ClockReading present) {
    if (!core.isLeading(order.term())) {
      return List.of();
    }
    core.handleStopResult(order.run(), answer, present);
    return core.takeActions();
  }

  /**
   * Takes the answer to a look at a worker. One that was asked for in an earlier term may be older
   * than runs that have started since.
   *
   * @since 0.3
   */
  public List<ScopeAction> handlePollResult(
      ScopeAction.Poll order, PollResult answer, ClockReading present) {
    if (!core.isLeading(order.term())) {
      return List.of();
    }
    core.handlePollResult(order.worker(), answer, present);
    return core.takeActions();
  }

  // Time

  /**
   * Acts on what is due.
   *
   * @since 0.2
   */
  public List<ScopeAction> tick(ClockReading present) {
    if (!core.isLeading()) {
      return List.of();
    }
    core.tick(present);
    return core.takeActions();
  }

  // Planning

  /**
   * Gives waiting steps their workers, if any event since the last call may let one start, and
   * looks at the workers for which that is due.
   *
   * @since 0.3
   */
  public List<ScopeAction> plan(ClockReading present) {
    if (!core.isLeading()) {
      return List.of();
    }
    core.plan(present);
    return core.takeActions();
  }

  /**
   * Looks at the workers for which that is due, which renews their leases. Costs little beside
   * {@link #plan}, so that leases need not wait where planning has to.
   *
   * @since 0.3
   */
  public List<ScopeAction> pollWorkers(ClockReading present) {
    if (!core.isLeading()) {
      return List.of();
    }
    core.pollWorkers(present);
    return core.takeActions();
  }
}
