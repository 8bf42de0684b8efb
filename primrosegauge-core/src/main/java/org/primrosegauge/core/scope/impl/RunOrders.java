package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.Placement;
import org.primrosegauge.core.scope.RunEnd;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeEvent;
import org.primrosegauge.core.scope.ScopeEvent.Kind;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepRecord;
import org.primrosegauge.core.scope.StopResult;
import org.primrosegauge.core.scope.TaskRecord;
import org.primrosegauge.core.scope.WorkerKey;

/**
 * Carries runs from their placement to their end: orders to start and to stop, and what their
 * answers, or the lack of one, say.
 *
 * <p>Answers orders that get lost or are carried out late: a start whose outcome is unknown is
 * tried again until its deadline, then stopped, which also keeps it from starting later; only a
 * look at the worker after that may find that it never began.
 *
 * <p>Not thread-safe.
 */
final class RunOrders {

  private static final int MAX_START_TRIES = 4;
  private static final long STOP_RETRY_MILLIS = 500;
  private static final long START_MARGIN_MILLIS = 300;

  private final ScopeState state;

  RunOrders(ScopeState state) {
    this.state = state;
  }

  // Placements

  /** Acts on placements that the log has applied. */
  void placed(List<Placement> placements, ClockReading present) {
    state.examined(placements.size());
    Set<StepKey> brokenGangs = new HashSet<>();
    List<RunControl> ready = new ArrayList<>();
    for (Placement placement : placements) {
      RunId id = placement.run();
      RunControl run = state.runs.get(id);
      boolean isReplaced = run != null && !run.isPlacedBy(placement);
      if (isReplaced) {
        // Its worker ended before the log took it, and the run was placed elsewhere since.
        continue;
      }
      state.settleProposed(id);
      boolean isTaken = run != null && state.ledger.isOpenAt(id, placement.worker());
      if (run != null && !isTaken) {
        state.remove(run);
      }
      if (isTaken) {
        ready.add(run);
      }
      if (!isTaken || isVoid(run)) {
        brokenGangs.add(id.task().stepKey());
      }
    }
    for (RunControl run : ready) {
      boolean isBroken = run.spec.gang() && brokenGangs.contains(run.id.task().stepKey());
      if (isBroken || isVoid(run)) {
        neverStarted(run, present);
      } else {
        sendStart(run, present.monotonicMillis());
      }
    }
  }

  private boolean isVoid(RunControl run) {
    WorkerSession worker = run.worker;
    return run.stopWanted
        || run.job.status().isFinal()
        || worker.left
        || worker.draining
        || state.ledger.domainsOut().contains(worker.info.domain());
  }

  /** Forgets placements that the log did not take. */
  void notPlaced(List<Placement> placements) {
    for (Placement placement : placements) {
      RunControl run = state.runs.get(placement.run());
      if (run != null && run.isPlacedBy(placement)) {
        state.settleProposed(placement.run());
        state.remove(run);
      }
    }
  }

  // Starts

  private void sendStart(RunControl run, long nowMillis) {
    run.worker.order(run);
    state.looks.touch(run.worker);
    if (run.spec.gang()) {
      state.suspects.add(run.id.task().stepKey());
    }
    run.startInFlight = true;
    run.startTries++;
    WorkerSession worker = run.worker;
    worker.longestDeadline = Math.max(worker.longestDeadline, run.startDeadline);
    StepRecord step = state.ledger.step(run.id.task().stepKey());
    TaskRecord task = step.task(run.id.task().index());
    state.emit(
        new ScopeAction.Start(
            worker.info.key(),
            worker.info.address(),
            run.id,
            run.job.job().payload(),
            run.startDeadline,
            state.term,
            task.checkpoint()));
  }

  /** Notes what became of an order to start. */
  void startAnswered(RunId id, StartResult answer, long clockMillis, ClockReading present) {
    RunControl run = state.runs.get(id);
    if (run == null || !run.startInFlight) {
      return;
    }
    run.startInFlight = false;
    if (answer != StartResult.NO_ANSWER) {
      contacted(run.worker, clockMillis, present.monotonicMillis());
    }
    switch (answer) {
      case STARTED -> started(run, present);
      case NO_ANSWER -> unanswered(run, present);
      case SUPERSEDED -> {
        run.phase = RunControl.Phase.IN_DOUBT;
        run.barredMillis = present.monotonicMillis();
        lookSoon(run.worker, present.monotonicMillis());
      }
      case FENCED -> run.phase = RunControl.Phase.IN_DOUBT;
      case OTHER_LIFETIME -> lifetimeOver(run.worker);
      default -> rejected(run, answer, present);
    }
  }

  private void started(RunControl run, ClockReading present) {
    state.running(run, present.monotonicMillis());
    state.report(ScopeEvent.of(Kind.STARTED, run.id, run.worker.info.key(), ""));
    lookSoon(run.worker, present.monotonicMillis());
    if (run.stopWanted) {
      sendStop(run, present.monotonicMillis());
    }
  }

  private void rejected(RunControl run, StartResult answer, ClockReading present) {
    WorkerSession worker = run.worker;
    state.report(
        ScopeEvent.of(
            Kind.START_REJECTED, run.id, worker.info.key(), "answer=" + answer + rooms(worker)));
    if (answer == StartResult.UNWELL) {
      setAside(worker, "an order to start was refused as unwell", present.monotonicMillis());
    }
    if (run.startUnanswered) {
      doubt(run, present);
    } else {
      neverStarted(run, present);
    }
  }

  private static String rooms(WorkerSession worker) {
    return " free=" + worker.free() + " runs=" + worker.runs.size();
  }

  private void unanswered(RunControl run, ClockReading present) {
    run.startUnanswered = true;
    state.report(
        ScopeEvent.of(
            Kind.START_UNANSWERED, run.id, run.worker.info.key(), "try=" + run.startTries));
    boolean hasTime =
        run.worker.clockAt(present.monotonicMillis()) + START_MARGIN_MILLIS < run.startDeadline;
    boolean isWanted = !run.stopWanted && state.ledger.isOpen(run.id);
    if (hasTime && run.startTries < MAX_START_TRIES && isWanted) {
      sendStart(run, present.monotonicMillis());
    } else {
      doubt(run, present);
    }
  }

  /** The other members of a gang would wait in vain, and end alone. */
  private void doubt(RunControl run, ClockReading present) {
    run.phase = RunControl.Phase.IN_DOUBT;
    state.wantStop(run);
    sendStop(run, present.monotonicMillis());
    if (run.spec.gang()) {
      stopGang(run, "start of member " + run.id.task().index() + " is in doubt", present);
    }
  }

  /** Records that a run never began and never will. */
  void neverStarted(RunControl run, ClockReading present) {
    state.notBefore.put(
        run.id.task().stepKey(), present.monotonicMillis() + state.settings.retryDelayMillis());
    proposeEnd(run, RunOutcome.NEVER_STARTED, present);
  }

  /** Proposes again that runs never started, where the log did not take it. */
  void recordAgain(ClockReading present) {
    List<RunControl> unrecorded = List.copyOf(state.unrecorded);
    state.unrecorded.clear();
    state.examined(unrecorded.size());
    for (RunControl run : unrecorded) {
      if (state.runs.get(run.id) == run) {
        neverStarted(run, present);
      }
    }
  }

  /** Proposes the end of a run that its worker does not list as ended. */
  void proposeEnd(RunControl run, RunOutcome outcome, ClockReading present) {
    if (run.endProposed) {
      return;
    }
    run.endProposed = true;
    state.propose(
        new ScopeCommand.RecordEnds(
            run.worker.info.key(),
            0,
            List.of(new RunEnd(run.id, outcome, "")),
            present.wallMillis()));
  }

  // Stops

  /** Stops a run, wherever its start has got to. */
  void stop(RunControl run, String why, ClockReading present) {
    if (run.stopWanted || run.endProposed) {
      return;
    }
    state.wantStop(run);
    state.report(ScopeEvent.of(Kind.STOPPING, run.id, run.worker.info.key(), "why=" + why));
    if (run.isOrdered()) {
      sendStop(run, present.monotonicMillis());
    }
  }

  /** Stops the members that share a run's attempt. */
  void stopGang(RunControl run, String why, ClockReading present) {
    for (RunControl member : state.runsOf(run.id.task().stepKey())) {
      if (member.id.attempt() == run.id.attempt()) {
        stop(member, why, present);
      }
    }
  }

  private void sendStop(RunControl run, long nowMillis) {
    run.stopInFlight = true;
    run.nextStopMillis = nowMillis + STOP_RETRY_MILLIS;
    state.emit(
        new ScopeAction.Stop(run.worker.info.key(), run.worker.info.address(), run.id, state.term));
  }

  /** Notes what became of an order to stop. */
  void stopAnswered(RunId id, StopResult answer, ClockReading present) {
    RunControl run = state.runs.get(id);
    if (run == null) {
      return;
    }
    run.stopInFlight = false;
    if (answer == StopResult.STOPPING) {
      run.barredMillis = Math.min(run.barredMillis, present.monotonicMillis());
      state.stopping.remove(run);
      lookSoon(run.worker, present.monotonicMillis());
    } else if (answer == StopResult.OTHER_LIFETIME) {
      lifetimeOver(run.worker);
    }
  }

  /** Sends the orders to stop again that got no answer. */
  void resendStops(long nowMillis) {
    state.examined(state.stopping.size());
    state.stopping.forEach(run -> resendIfDue(run, nowMillis));
  }

  private void resendIfDue(RunControl run, long nowMillis) {
    boolean isUnanswered =
        run.stopWanted
            && run.isOrdered()
            && !run.endProposed
            && !run.stopInFlight
            && run.barredMillis == Long.MAX_VALUE;
    if (isUnanswered && nowMillis >= run.nextStopMillis) {
      sendStop(run, nowMillis);
    }
  }

  // Workers

  /** Notes that a worker answered. */
  void contacted(WorkerSession worker, long clockMillis, long nowMillis) {
    worker.answeredMillis = nowMillis;
    if (clockMillis > 0) {
      worker.noteClock(clockMillis, nowMillis);
    }
  }

  void lookSoon(WorkerSession worker, long nowMillis) {
    worker.nextLookMillis = Math.min(worker.nextLookMillis, nowMillis);
    state.looks.touch(worker);
  }

  /** Gives a worker nothing new for a while. */
  void setAside(WorkerSession worker, String why, long nowMillis) {
    worker.asideUntilMillis = nowMillis + state.settings.quarantineMillis();
    state.report(ScopeEvent.of(Kind.WORKER_ASIDE, worker.info.key(), "why=" + why));
  }

  /** Records that a lifetime of a worker is over. */
  void lifetimeOver(WorkerSession worker) {
    WorkerKey key = worker.info.key();
    if (!worker.left) {
      worker.left = true;
      state.propose(new ScopeCommand.ForgetWorker(key));
    }
  }
}
