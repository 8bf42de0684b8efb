package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.RunEnd;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeEvent;
import org.primrosegauge.core.scope.ScopeEvent.Kind;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.StepRecord;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.StopResult;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;
import org.primrosegauge.core.scope.WorkerRecord;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/**
 * Applies events to the state of a scope in one term, and plans what can start after them.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
public final class ScopeCore {

  private final ScopeState state;
  private final RunLifecycle lifecycle;
  private final WorkerPoller poller;
  private final RunMonitor monitor;
  private final WorkerConfirmations confirmations;
  private final OverdueResponses overdueResponses;
  private final Planner planner;
  private final WorkerRegistrations registrations;
  private final RenewalSuspensions suspensions;
  private boolean leading;
  private long nextCheckMillis;

  /** Creates the core of a scheduler that does not lead. */
  public ScopeCore(ScopeLedger ledger, ScopeSettings settings) {
    this(new ScopeState(ledger, settings));
  }

  ScopeCore(ScopeState state) {
    this.state = state;
    confirmations = new WorkerConfirmations(state);
    overdueResponses = new OverdueResponses(state, confirmations);
    lifecycle = new RunLifecycle(state, overdueResponses);
    poller = new WorkerPoller(state, lifecycle, overdueResponses);
    monitor = new RunMonitor(state, lifecycle);
    planner = new Planner(state, lifecycle, confirmations);
    registrations = new WorkerRegistrations(state, lifecycle);
    suspensions = new RenewalSuspensions(state.ledger);
  }

  /** Starts leading in a term, from the state of the ledger. */
  public void startLeading(Term term, ClockReading now) {
    state.clear();
    registrations.clear();
    state.term = term;
    leading = true;
    for (WorkerRecord worker : state.ledger.workers()) {
      state.examined(1 + worker.openRuns().size());
      WorkerSession session = openSession(worker.info(), now);
      session.draining = worker.isDraining();
      session.drainAnnounced = worker.isDraining();
      session.drainSequence = worker.drainSequence();
      session.drainEndMillis = now.monotonicMillis();
      if (worker.isRenewalSuspended()) {
        session.renewalSuspended = true;
        long since = suspensions.suspendedSinceMillis(worker.info().key(), now.monotonicMillis());
        session.earliestExpiryMillis = since + state.maxLeaseMillis();
      }
      for (RunId run : worker.openRuns()) {
        recover(run, session, now.monotonicMillis());
      }
    }
    state.dirty = true;
  }

  /** Stops leading and discards the state of the term. */
  public void stopLeading() {
    leading = false;
    state.clear();
  }

  /** Tells whether this replica leads. */
  public boolean isLeading() {
    return leading;
  }

  /** Tells whether this replica leads in a term. */
  public boolean isLeading(Term term) {
    return leading && term.equals(state.term);
  }

  private WorkerSession openSession(WorkerInfo info, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    long silentSince = nowMillis - state.settings.silenceTimeoutMillis() - 1;
    WorkerSession session = new WorkerSession(info, nowMillis, silentSince);
    session.earliestExpiryMillis = nowMillis + state.maxLeaseMillis();
    state.addSession(session);
    return session;
  }

  private void recover(RunId id, WorkerSession worker, long nowMillis) {
    JobEntry job = state.ledger.job(id.task().job()).orElseThrow();
    StepSpec spec = job.job().steps().get(id.task().step());
    RunState run =
        new RunState(
            id,
            worker,
            job,
            spec,
            state.expectedMillis(job, spec),
            RunState.Phase.RECOVERED,
            nowMillis);
    state.add(run);
    state.stepsToCheck.add(id.task().stepKey());
  }

  /** Returns how many workers, runs, jobs and tasks have been examined for decisions so far. */
  public long examined() {
    return state.examined();
  }

  /**
   * Forgets what was learned from single commands. Called when the ledger has been replaced as a
   * whole.
   */
  public void restored() {
    suspensions.clear();
  }

  /**
   * Handles a command that the ledger has applied. A follower only tracks the suspension of
   * renewals.
   */
  public void applied(ScopeCommand command, ClockReading now) {
    suspensions.applied(command, now);
    if (!leading) {
      return;
    }
    state.dirty = true;
    planner.markChangedJobs(command);
    if (command instanceof ScopeCommand.Place place) {
      lifecycle.handlePlaced(place.placements(), now);
    } else if (command instanceof ScopeCommand.RecordEnds ends) {
      handleRecordedEnds(ends, now);
    } else if (command instanceof ScopeCommand.Cancel cancel) {
      stopIfCancelled(cancel.job(), now);
    } else if (command instanceof ScopeCommand.SeeWorker registration) {
      registerWorker(registration.worker(), now);
    } else if (command instanceof ScopeCommand.ForgetWorker removal) {
      WorkerSession session = state.sessions.get(removal.worker());
      closeStaleSessions(session == null ? List.of() : List.of(session), now);
    } else if (command instanceof ScopeCommand.SwitchRenewal renewalSwitch) {
      sessionsOf(renewalSwitch)
          .forEach(worker -> poller.renewalSwitched(worker, renewalSwitch.isSuspended(), now));
    }
  }

  private Stream<WorkerSession> sessionsOf(ScopeCommand.SwitchRenewal renewalSwitch) {
    return renewalSwitch.workers().stream().map(state.sessions::get).filter(Objects::nonNull);
  }

  private void registerWorker(WorkerInfo info, ClockReading now) {
    if (state.ledger.isSuperseded(info)) {
      return;
    }
    closeStaleSessions(state.sessionsWithSameTargetOrAddress(info), now);
    if (!state.sessions.containsKey(info.key())) {
      openNewSession(info, now);
    }
  }

  private void openNewSession(WorkerInfo info, ClockReading now) {
    WorkerSession session = openSession(info, now);
    session.earliestExpiryMillis = now.monotonicMillis();
    session.lastHeartbeatMillis = now.monotonicMillis();
    WorkerHeartbeat firstHeartbeat = state.unregistered.remove(info.key());
    if (firstHeartbeat != null) {
      session.recordHeartbeat(firstHeartbeat, now.monotonicMillis());
      recordDrain(firstHeartbeat);
    }
    state.report(
        ScopeEvent.of(
            Kind.WORKER_SEEN,
            info.key(),
            "address=" + info.address() + " domain=" + info.domain() + " rack=" + info.rack()));
  }

  /** Proposes to record that a worker drains which could not be registered with that at once. */
  private void recordDrain(WorkerHeartbeat heartbeat) {
    if (heartbeat.isDraining()) {
      state.propose(
          new ScopeCommand.SwitchDrain(heartbeat.info().key(), true, heartbeat.sequence()));
    }
  }

  private void handleRecordedEnds(ScopeCommand.RecordEnds command, ClockReading now) {
    state.examined(command.ends().size());
    Set<JobId> affectedJobs = new HashSet<>();
    for (RunEnd end : command.ends()) {
      RunState run = state.runs.get(end.run());
      if (run != null && run.worker.info.key().equals(command.worker())) {
        handleRunEnd(run, end, now);
        affectedJobs.add(end.run().task().job());
      }
    }
    WorkerSession worker = state.sessions.get(command.worker());
    if (worker != null && command.lastEnd() > 0) {
      lifecycle.pollSoon(worker, now.monotonicMillis());
    }
    for (JobId id : affectedJobs) {
      boolean isOver = state.ledger.job(id).map(entry -> entry.status().isFinal()).orElse(true);
      if (isOver) {
        stopJob(id, "job is over", now);
      }
    }
  }

  private void handleRunEnd(RunState run, RunEnd end, ClockReading now) {
    state.remove(run);
    state.report(
        ScopeEvent.of(Kind.ENDED, run.id, run.worker.info.key(), "outcome=" + end.outcome()));
    if (end.outcome() == RunOutcome.DONE) {
      run.worker.recordSuccess();
    } else if (end.outcome() == RunOutcome.FAILED) {
      handleFailure(run, now);
    }
    boolean endsByItself = end.outcome() == RunOutcome.DONE || end.outcome() == RunOutcome.FAILED;
    if (run.spec.longRunning() && endsByItself) {
      lifecycle.delayRestart(run, now.monotonicMillis());
    }
    if (run.spec.gang() && !run.spec.isCompletedBy(end.outcome())) {
      // A gang that has lost a member cannot continue.
      lifecycle.stopGang(run, "gang member " + run.id.task().index() + " ended", now);
    }
  }

  /**
   * Counts a failed run against its worker, unless runs of the same step have failed on another
   * worker too: then the step is the likelier cause.
   */
  private void handleFailure(RunState run, ClockReading now) {
    WorkerKey worker = run.worker.info.key();
    Set<WorkerKey> failedWorkers =
        state.failedWorkers.computeIfAbsent(run.id.task().stepKey(), step -> new HashSet<>());
    failedWorkers.add(worker);
    boolean failsElsewhere = failedWorkers.size() > 1;
    if (!failsElsewhere && run.worker.recordFailure(run.id.task().job())) {
      lifecycle.quarantine(run.worker, "runs of several jobs fail", now.monotonicMillis());
    }
  }

  /**
   * Stops the runs of a job unless its cancellation had no effect, as its caller may not see it.
   */
  private void stopIfCancelled(JobId job, ClockReading now) {
    if (state.ledger.job(job).filter(entry -> entry.status().isFinal()).isPresent()) {
      stopJob(job, "cancelled", now);
    }
  }

  private void stopJob(JobId job, String reason, ClockReading now) {
    for (RunState run : state.runsOfJob(job)) {
      if (!isFinishedGang(run)) {
        lifecycle.stop(run, reason, now);
      }
    }
  }

  /**
   * Tells whether a run belongs to a gang that is done. Its members end by themselves, and their
   * ends are about to be reported.
   */
  private boolean isFinishedGang(RunState run) {
    StepRecord step = state.ledger.step(run.id.task().stepKey());
    return run.spec.gang() && (step == null || step.isDone());
  }

  /** Closes those of the given sessions whose incarnation is no longer in the ledger. */
  private void closeStaleSessions(List<WorkerSession> candidates, ClockReading now) {
    List<WorkerSession> stale =
        candidates.stream()
            .filter(session -> state.ledger.worker(session.info.key()).isEmpty())
            .toList();
    for (WorkerSession session : stale) {
      state.examined(1 + session.runs.size());
      state.removeSession(session);
      state.report(
          ScopeEvent.of(Kind.WORKER_GONE, session.info.key(), "runs=" + session.runs.size()));
      for (RunState run : new ArrayList<>(session.runs.values())) {
        state.removeProposed(run.id);
        handleRunEnd(run, new RunEnd(run.id, RunOutcome.WORKER_LOST, ""), now);
      }
    }
  }

  /**
   * Discards a proposal that the log did not accept. It is made again when its cause is found
   * again.
   */
  public void proposalFailed(ScopeCommand command) {
    state.dirty = true;
    if (command instanceof ScopeCommand.Place place) {
      lifecycle.handleNotPlaced(place.placements());
    } else if (command instanceof ScopeCommand.RecordEnds ends) {
      ends.ends().stream()
          .map(end -> state.runs.get(end.run()))
          .filter(Objects::nonNull)
          .forEach(this::handleEndNotRecorded);
      WorkerSession worker = state.sessions.get(ends.worker());
      if (worker != null) {
        worker.proposedEnd = 0;
      }
    } else if (command instanceof ScopeCommand.ForgetWorker removal) {
      WorkerSession worker = state.sessions.get(removal.worker());
      if (worker != null) {
        worker.removalProposed = false;
      }
    } else if (command instanceof ScopeCommand.SwitchRenewal renewalSwitch) {
      sessionsOf(renewalSwitch).forEach(worker -> worker.renewalSwitchProposed = false);
    }
  }

  private void handleEndNotRecorded(RunState run) {
    run.endProposed = false;
    // A reason to stop the run may have arisen while its end was proposed.
    state.stepsToCheck.add(run.id.task().stepKey());
    boolean isFoundByPolls = run.isDispatched() && run.phase != RunState.Phase.STARTING;
    if (!isFoundByPolls) {
      state.unrecordedEnds.add(run);
    }
  }

  /** Handles a heartbeat. */
  public void handleHeartbeat(WorkerHeartbeat heartbeat, ClockReading now) {
    WorkerKey key = heartbeat.info().key();
    WorkerSession session = state.sessions.get(key);
    if (session == null || !session.info.isSameIncarnation(heartbeat.info())) {
      registrations.announced(heartbeat);
      return;
    }
    boolean isLate = heartbeat.sequence() < session.drainSequence;
    if (isLate || heartbeat.sequence() <= session.sequence) {
      return;
    }
    // A new leader has not yet moved the runs of a worker that was draining before its term.
    boolean wasDraining = session.draining && session.sequence >= 0;
    boolean wasSilent =
        session.isSilent(now.monotonicMillis(), state.settings.silenceTimeoutMillis());
    session.recordHeartbeat(heartbeat, now.monotonicMillis());
    if (session.draining && !wasDraining) {
      String detail = "remaining_ms=" + heartbeat.drainRemainingMillis();
      state.report(ScopeEvent.of(Kind.WORKER_DRAINING, key, detail));
      monitor.drainWorker(session, now);
    }
    state.dirty |= wasSilent || wasDraining != session.draining;
  }

  /**
   * Handles the announcement that a worker exits. Runs that are still there end once nothing
   * listens at its address or their lease expires.
   *
   * <p>The announcement names the target only. A worker drains before it exits, so an incarnation
   * that has not is still there: the announcement is a late one of a former incarnation, or its
   * draining was not heard. It gets nothing new until its next heartbeat.
   */
  public void workerLeft(TargetId target, ClockReading now) {
    for (WorkerSession session : state.sessionsOf(target)) {
      session.draining = true;
      session.drainEndMillis = now.monotonicMillis();
      session.exitAnnounced = session.drainAnnounced;
      if (session.runs.isEmpty() && session.exitAnnounced) {
        lifecycle.proposeRemoval(session);
      } else {
        lifecycle.pollSoon(session, now.monotonicMillis());
      }
    }
  }

  /** Handles the result of a start request. */
  public void handleStartResult(RunId run, StartResult result, long clockMillis, ClockReading now) {
    lifecycle.handleStartResult(run, result, clockMillis, now);
  }

  /** Handles the result of a stop request. */
  public void handleStopResult(RunId run, StopResult result, ClockReading now) {
    lifecycle.handleStopResult(run, result, now);
  }

  /** Handles the result of a poll. */
  public void handlePollResult(WorkerKey worker, PollResult result, ClockReading now) {
    WorkerSession session = state.sessions.get(worker);
    if (session != null) {
      poller.handlePollResult(session, result, now);
    }
  }

  /** Handles the result of a probe. */
  public void handleProbeResult(WorkerKey worker, PollResult result, ClockReading now) {
    WorkerSession session = state.sessions.get(worker);
    if (session != null) {
      handleProbeResult(session, result, now);
    }
    registrations.handleProbeResult(worker, result);
  }

  private void handleProbeResult(WorkerSession worker, PollResult result, ClockReading now) {
    state.dirty = true;
    switch (result.kind()) {
      case REPORT -> {
        lifecycle.recordResponse(worker, result.clockMillis(), now.monotonicMillis());
        poller.recordProbedEnds(worker, result, now);
      }
      case OTHER_LIFETIME -> lifecycle.proposeRemoval(worker);
      default -> lifecycle.pollUnresponsive(worker, now.monotonicMillis());
    }
  }

  /** Runs the periodic work that is due. */
  public void tick(ClockReading now) {
    poller.expireDueLeases(now);
    lifecycle.resendStops(now.monotonicMillis());
    lifecycle.sendQueuedStarts(now);
    overdueResponses.probeDue(now.monotonicMillis());
    monitor.stopBeforeExits(now);
    if (now.monotonicMillis() >= nextCheckMillis) {
      nextCheckMillis = now.monotonicMillis() + RunMonitor.PERIOD_MILLIS;
      lifecycle.retryUnrecordedEnds(now);
      poller.suspendDueRenewals(now.monotonicMillis());
      poller.removeSilentWorkers(now.monotonicMillis());
      monitor.check(now);
    }
  }

  /** Places the steps that can start, and polls the workers for which that is due. */
  public void plan(ClockReading now) {
    planner.run(now);
    pollWorkers(now);
  }

  /** Polls the workers for which that is due. */
  public void pollWorkers(ClockReading now) {
    poller.pollDueWorkers(now);
  }

  /**
   * Returns and clears the actions requested by events and planning since the last call; empty if
   * this replica does not lead.
   */
  public List<ScopeAction> takeActions() {
    List<ScopeAction> actions = state.takeActions();
    return leading ? actions : List.of();
  }
}
