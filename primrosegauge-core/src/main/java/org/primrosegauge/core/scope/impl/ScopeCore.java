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
  private final RunOrders orders;
  private final WorkerLooks looks;
  private final RunWatch watch;
  private final Planner planner;
  private final Suspensions suspensions;
  private boolean inOffice;
  private long nextWatchMillis;

  /** Creates the core of a scheduler that does not lead. */
  public ScopeCore(ScopeLedger ledger, ScopeSettings settings) {
    this(new ScopeState(ledger, settings));
  }

  ScopeCore(ScopeState state) {
    this.state = state;
    orders = new RunOrders(state);
    looks = new WorkerLooks(state, orders);
    watch = new RunWatch(state, orders);
    planner = new Planner(state, orders);
    suspensions = new Suspensions(state.ledger);
  }

  // Office

  /** Begins a term from what the ledger holds. */
  public void takeOffice(Term term, ClockReading present) {
    state.clear();
    state.term = term;
    inOffice = true;
    for (WorkerRecord worker : state.ledger.workers()) {
      state.examined(1 + worker.openRuns().size());
      WorkerSession session = openSession(worker.info(), present);
      session.draining = worker.isDraining();
      session.drainEndMillis = present.monotonicMillis();
      if (worker.isRenewalSuspended()) {
        session.renewalSuspended = true;
        long since = suspensions.sinceMillis(worker.info().key(), present.monotonicMillis());
        session.lapseNotBeforeMillis = since + state.longestLeaseMillis();
      }
      for (RunId run : worker.openRuns()) {
        inherit(run, session, present.monotonicMillis());
      }
    }
    state.dirty = true;
  }

  /** Ends the term. */
  public void leaveOffice() {
    inOffice = false;
    state.clear();
  }

  /** Tells whether it decides. */
  public boolean isInOffice() {
    return inOffice;
  }

  /** Tells whether it decides under a term. */
  public boolean isInOffice(Term term) {
    return inOffice && term.equals(state.term);
  }

  private WorkerSession openSession(WorkerInfo info, ClockReading present) {
    long now = present.monotonicMillis();
    long silentSince = now - state.settings.silenceTimeoutMillis() - 1;
    WorkerSession session = new WorkerSession(info, now, silentSince);
    session.lapseNotBeforeMillis = now + state.longestLeaseMillis();
    state.addSession(session);
    return session;
  }

  private void inherit(RunId id, WorkerSession worker, long nowMillis) {
    JobEntry job = state.ledger.job(id.task().job()).orElseThrow();
    RunControl run =
        new RunControl(
            id,
            worker,
            job,
            job.job().steps().get(id.task().step()),
            RunControl.Phase.INHERITED,
            nowMillis);
    state.add(run);
    state.suspects.add(id.task().stepKey());
  }

  /** Returns how many workers, runs, jobs and tasks decisions have looked at so far. */
  public long examined() {
    return state.examined();
  }

  // Log

  /** Forgets what was learned from single commands. */
  public void restored() {
    suspensions.clear();
  }

  /** Acts on a command that the ledger has applied; only notes it where this replica follows. */
  public void applied(ScopeCommand command, ClockReading present) {
    suspensions.applied(command, present);
    if (!inOffice) {
      return;
    }
    state.dirty = true;
    planner.noteApplied(command);
    if (command instanceof ScopeCommand.Place place) {
      orders.placed(place.placements(), present);
    } else if (command instanceof ScopeCommand.RecordEnds ends) {
      endsRecorded(ends, present);
    } else if (command instanceof ScopeCommand.Cancel cancel) {
      stopJob(cancel.job(), "cancelled", present);
    } else if (command instanceof ScopeCommand.SeeWorker seen) {
      workerSeen(seen.worker(), present);
    } else if (command instanceof ScopeCommand.ForgetWorker gone) {
      WorkerSession session = state.sessions.get(gone.worker());
      dropOldSessions(session == null ? List.of() : List.of(session), present);
    } else if (command instanceof ScopeCommand.SwitchRenewal order) {
      sessionsOf(order)
          .forEach(worker -> looks.renewalSwitched(worker, order.isSuspended(), present));
    }
  }

  private Stream<WorkerSession> sessionsOf(ScopeCommand.SwitchRenewal order) {
    return order.workers().stream().map(state.sessions::get).filter(Objects::nonNull);
  }

  private void workerSeen(WorkerInfo info, ClockReading present) {
    if (state.ledger.isSuperseded(info)) {
      return;
    }
    dropOldSessions(state.sessionsSharing(info), present);
    if (!state.sessions.containsKey(info.key())) {
      openNewSession(info, present);
    }
  }

  private void openNewSession(WorkerInfo info, ClockReading present) {
    WorkerSession session = openSession(info, present);
    session.lapseNotBeforeMillis = present.monotonicMillis();
    session.heardMillis = present.monotonicMillis();
    WorkerHeartbeat first = state.announced.remove(info.key());
    if (first != null) {
      session.heard(first, present.monotonicMillis());
    }
    state.report(
        ScopeEvent.of(
            Kind.WORKER_SEEN,
            info.key(),
            "address=" + info.address() + " domain=" + info.domain() + " rack=" + info.rack()));
  }

  private void endsRecorded(ScopeCommand.RecordEnds command, ClockReading present) {
    state.examined(command.ends().size());
    Set<JobId> touched = new HashSet<>();
    for (RunEnd end : command.ends()) {
      RunControl run = state.runs.get(end.run());
      if (run != null && run.worker.info.key().equals(command.worker())) {
        ended(run, end, present);
        touched.add(end.run().task().job());
      }
    }
    WorkerSession worker = state.sessions.get(command.worker());
    if (worker != null && command.lastEnd() > 0) {
      orders.lookSoon(worker, present.monotonicMillis());
    }
    for (JobId id : touched) {
      boolean isOver = state.ledger.job(id).map(entry -> entry.status().isFinal()).orElse(true);
      if (isOver) {
        stopJob(id, "job is over", present);
      }
    }
  }

  private void ended(RunControl run, RunEnd end, ClockReading present) {
    state.remove(run);
    state.report(
        ScopeEvent.of(Kind.ENDED, run.id, run.worker.info.key(), "outcome=" + end.outcome()));
    boolean isDone = end.outcome() == RunOutcome.DONE;
    if (isDone) {
      run.worker.succeeded();
    } else if (end.outcome() == RunOutcome.FAILED) {
      state
          .failedOn
          .computeIfAbsent(run.id.task().stepKey(), step -> new HashSet<>())
          .add(run.worker.info.key());
      if (run.worker.failed()) {
        orders.setAside(run.worker, "its runs fail", present.monotonicMillis());
      }
    }
    if (run.spec.gang() && !isDone) {
      // A gang that has lost a member cannot go on.
      orders.stopGang(run, "gang member " + run.id.task().index() + " ended", present);
    }
  }

  private void stopJob(JobId job, String why, ClockReading present) {
    for (RunControl run : state.runsOfJob(job)) {
      if (!isDoneElsewhere(run)) {
        orders.stop(run, why, present);
      }
    }
  }

  /** Members of a gang that is done end by themselves; their ends are about to be listed. */
  private boolean isDoneElsewhere(RunControl run) {
    StepRecord step = state.ledger.step(run.id.task().stepKey());
    return run.spec.gang() && (step == null || step.isDone());
  }

  /** Ends those of some sessions whose lifetime the ledger does not hold any more. */
  private void dropOldSessions(List<WorkerSession> touched, ClockReading present) {
    List<WorkerSession> old =
        touched.stream()
            .filter(session -> state.ledger.worker(session.info.key()).isEmpty())
            .toList();
    for (WorkerSession session : old) {
      state.examined(1 + session.runs.size());
      state.removeSession(session);
      state.report(
          ScopeEvent.of(Kind.WORKER_GONE, session.info.key(), "runs=" + session.runs.size()));
      for (RunControl run : new ArrayList<>(session.runs.values())) {
        state.settleProposed(run.id);
        ended(run, new RunEnd(run.id, RunOutcome.WORKER_LOST, ""), present);
      }
    }
  }

  /** Forgets a proposal that the log did not take; its cause is found again. */
  public void proposalFailed(ScopeCommand command) {
    state.dirty = true;
    if (command instanceof ScopeCommand.Place place) {
      orders.notPlaced(place.placements());
    } else if (command instanceof ScopeCommand.RecordEnds ends) {
      ends.ends().stream()
          .map(end -> state.runs.get(end.run()))
          .filter(Objects::nonNull)
          .forEach(this::endNotRecorded);
      WorkerSession worker = state.sessions.get(ends.worker());
      if (worker != null) {
        worker.proposedEnd = 0;
      }
    } else if (command instanceof ScopeCommand.ForgetWorker forget) {
      WorkerSession worker = state.sessions.get(forget.worker());
      if (worker != null) {
        worker.left = false;
      }
    } else if (command instanceof ScopeCommand.SwitchRenewal order) {
      sessionsOf(order).forEach(worker -> worker.renewalSwitchProposed = false);
    }
  }

  private void endNotRecorded(RunControl run) {
    run.endProposed = false;
    // What should stop it may have happened while its end was proposed.
    state.suspects.add(run.id.task().stepKey());
    boolean isFoundByLooks = run.isOrdered() && run.phase != RunControl.Phase.STARTING;
    if (!isFoundByLooks) {
      state.unrecorded.add(run);
    }
  }

  // Workers

  /** Takes a heartbeat. */
  public void workerReported(WorkerHeartbeat status, ClockReading present) {
    WorkerKey key = status.info().key();
    WorkerSession session = state.sessions.get(key);
    if (session == null) {
      if (!state.ledger.isSuperseded(status.info())) {
        state.announced.put(key, status);
        state.propose(new ScopeCommand.SeeWorker(status.info()));
      }
      return;
    }
    if (status.sequence() <= session.sequence) {
      return;
    }
    // A new leader has not moved what runs there yet.
    boolean wasDraining = session.draining && session.sequence >= 0;
    boolean wasSilent =
        session.isSilent(present.monotonicMillis(), state.settings.silenceTimeoutMillis());
    session.heard(status, present.monotonicMillis());
    if (session.draining && !wasDraining) {
      String detail = "remaining_ms=" + status.drainRemainingMillis();
      state.report(ScopeEvent.of(Kind.WORKER_DRAINING, key, detail));
      watch.drain(session, present);
    }
    state.dirty |= wasSilent || wasDraining != session.draining;
  }

  /** Notes that a worker ends; runs still there are over once nothing listens or they lapse. */
  public void workerLeft(TargetId target, ClockReading present) {
    for (WorkerSession session : state.sessionsOf(target)) {
      session.draining = true;
      session.saidItEnds = true;
      session.drainEndMillis = present.monotonicMillis();
      if (session.runs.isEmpty()) {
        orders.lifetimeOver(session);
      } else {
        orders.lookSoon(session, present.monotonicMillis());
      }
    }
  }

  /** Takes the answer to an order to start. */
  public void startAnswered(RunId run, StartResult answer, long clockMillis, ClockReading present) {
    orders.startAnswered(run, answer, clockMillis, present);
  }

  /** Takes the answer to an order to stop. */
  public void stopAnswered(RunId run, StopResult answer, ClockReading present) {
    orders.stopAnswered(run, answer, present);
  }

  /** Takes the answer to a look. */
  public void lookAnswered(WorkerKey worker, PollResult answer, ClockReading present) {
    WorkerSession session = state.sessions.get(worker);
    if (session != null) {
      looks.answered(session, answer, present);
    }
  }

  // Time

  /** Acts on what is due. */
  public void tick(ClockReading present) {
    looks.lapseWhereDue(present);
    orders.resendStops(present.monotonicMillis());
    if (present.monotonicMillis() >= nextWatchMillis) {
      nextWatchMillis = present.monotonicMillis() + RunWatch.PERIOD_MILLIS;
      orders.recordAgain(present);
      looks.suspendWhereDue(present.monotonicMillis());
      looks.forgetWhereDue(present.monotonicMillis());
      watch.check(present);
    }
  }

  // Planning

  /** Starts what can start, and looks where that is due. */
  public void plan(ClockReading present) {
    planner.run(present);
    look(present);
  }

  /** Looks at the workers for which that is due. */
  public void look(ClockReading present) {
    looks.lookWhereDue(present);
  }

  /** Hands out what the events and the planning since the last call ask for. */
  public List<ScopeAction> takeActions() {
    List<ScopeAction> actions = state.takeActions();
    return inOffice ? actions : List.of();
  }
}
