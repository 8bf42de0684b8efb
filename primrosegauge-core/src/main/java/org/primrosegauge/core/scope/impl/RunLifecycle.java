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
import org.primrosegauge.core.scope.cfg.ScopeFeature;

/**
 * Controls runs from their placement to their end: sends start and stop requests and handles their
 * results.
 *
 * <p>Requests may be lost or carried out late. A start whose outcome is unknown is retried until
 * its deadline and then stopped, which also prevents the worker from starting it later. Only a poll
 * sent after that stop may conclude that the run never started.
 *
 * <p>Not thread-safe.
 */
final class RunLifecycle {

  /** Largest number of start requests for one run. */
  private static final int MAX_START_TRIES = 4;

  /**
   * Largest number of starts that are handed to the client of the workers for one worker. More than
   * the largest gang, and half of what the client has room for.
   */
  static final int MAX_OPEN_STARTS = 1_024;

  /** Delay before an unanswered stop request is repeated, in milliseconds. */
  private static final long STOP_RETRY_MILLIS = 500;

  /** A long-running task that ends by itself earlier than this is not started again at once. */
  private static final long SHORT_RUN_MILLIS = 1_000;

  /** Least time before its deadline at which a start is tried again, in milliseconds. */
  private static final long START_MARGIN_MILLIS = 300;

  private final ScopeState state;
  private final OverdueResponses overdueResponses;

  RunLifecycle(ScopeState state, OverdueResponses overdueResponses) {
    this.state = state;
    this.overdueResponses = overdueResponses;
  }

  /** Handles placements that the log has applied. */
  void handlePlaced(List<Placement> placements, ClockReading now) {
    state.examined(placements.size());
    Set<StepKey> incompleteGangs = new HashSet<>();
    List<RunState> ready = new ArrayList<>();
    for (Placement placement : placements) {
      RunId id = placement.run();
      RunState run = state.runs.get(id);
      boolean isSuperseded = run != null && !run.isPlacedBy(placement);
      if (isSuperseded) {
        // Its worker was removed before the log applied it, and the run was placed elsewhere.
        continue;
      }
      state.removeProposed(id);
      boolean isAccepted = run != null && state.ledger.isOpenAt(id, placement.worker());
      if (run != null && !isAccepted) {
        state.remove(run);
      }
      if (isAccepted) {
        ready.add(run);
      }
      if (!isAccepted || isUnwanted(run)) {
        incompleteGangs.add(id.task().stepKey());
      }
    }
    for (RunState run : ready) {
      boolean isIncomplete = run.spec.gang() && incompleteGangs.contains(run.id.task().stepKey());
      if (isIncomplete || isUnwanted(run)) {
        proposeNeverStarted(run, now);
      } else {
        run.worker.markDispatched(run);
        startInTurn(run, now.monotonicMillis());
      }
    }
  }

  /** Sends a start, or keeps it until there is room for it and those before it have been sent. */
  private void startInTurn(RunState run, long nowMillis) {
    boolean hasRoom =
        run.worker.unsentStarts.isEmpty() && run.worker.openStarts.size() < MAX_OPEN_STARTS;
    if (hasRoom) {
      sendStart(run, nowMillis);
    } else {
      queueStart(run);
    }
  }

  private boolean isUnwanted(RunState run) {
    WorkerSession worker = run.worker;
    return run.stopRequested
        || run.job.status().isFinal()
        || worker.removalProposed
        || worker.draining
        || state.ledger.domainsOut().contains(worker.info.domain());
  }

  /** Discards placements that the log did not accept. */
  void handleNotPlaced(List<Placement> placements) {
    for (Placement placement : placements) {
      RunState run = state.runs.get(placement.run());
      if (run != null && run.isPlacedBy(placement)) {
        state.removeProposed(placement.run());
        state.remove(run);
      }
    }
  }

  private void queueStart(RunState run) {
    run.worker.unsentStarts.add(run);
    state.unsentStarts.add(run.worker);
  }

  /** Sends the starts that have not left this process, as far as their workers have room. */
  void sendQueuedStarts(ClockReading now) {
    List.copyOf(state.unsentStarts).forEach(worker -> sendQueuedStarts(worker, now));
  }

  private void sendQueuedStarts(WorkerSession worker, ClockReading now) {
    while (!worker.unsentStarts.isEmpty()) {
      RunState run = worker.unsentStarts.iterator().next();
      boolean isWanted = isStartWanted(run, now);
      if (isWanted && worker.openStarts.size() >= MAX_OPEN_STARTS) {
        return;
      }
      state.examined(1);
      worker.unsentStarts.remove(run);
      if (isWanted) {
        sendStart(run, now.monotonicMillis());
      } else if (!run.endProposed) {
        giveUpStart(run, now);
      }
    }
    state.unsentStarts.remove(worker);
  }

  private void sendStart(RunState run, long nowMillis) {
    state.pollQueue.enqueue(run.worker);
    if (run.spec.gang()) {
      state.stepsToCheck.add(run.id.task().stepKey());
    }
    run.startTries++;
    WorkerSession worker = run.worker;
    worker.openStarts.add(run);
    worker.latestDeadline = Math.max(worker.latestDeadline, run.startDeadline);
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

  /** Handles the result of a start request. */
  void handleStartResult(RunId id, StartResult result, long clockMillis, ClockReading now) {
    RunState run = state.runs.get(id);
    if (run == null || !run.worker.openStarts.remove(run)) {
      return;
    }
    if (result.isResponse()) {
      recordResponse(run.worker, clockMillis, now.monotonicMillis());
    }
    switch (result) {
      case STARTED -> handleStarted(run, now);
      case NO_ANSWER -> handleUnanswered(run, now);
      case NOT_SENT -> handleNotSent(run, now);
      case SUPERSEDED -> {
        run.phase = RunState.Phase.IN_DOUBT;
        run.stopConfirmedMillis = now.monotonicMillis();
        pollSoon(run.worker, now.monotonicMillis());
      }
      case FENCED -> run.phase = RunState.Phase.IN_DOUBT;
      case OTHER_LIFETIME -> proposeRemoval(run.worker);
      default -> handleRejected(run, result, now);
    }
    if (result != StartResult.NOT_SENT) {
      sendQueuedStarts(run.worker, now);
    }
  }

  private void handleStarted(RunState run, ClockReading now) {
    state.markRunning(run, now.monotonicMillis());
    state.report(ScopeEvent.of(Kind.STARTED, run.id, run.worker.info.key(), ""));
    pollSoon(run.worker, now.monotonicMillis());
    if (run.stopRequested) {
      sendStop(run, now.monotonicMillis());
    }
  }

  private void handleRejected(RunState run, StartResult result, ClockReading now) {
    WorkerSession worker = run.worker;
    state.report(
        ScopeEvent.of(
            Kind.START_REJECTED,
            run.id,
            worker.info.key(),
            "answer=" + result + capacityDetail(worker)));
    if (result == StartResult.UNWELL) {
      quarantine(worker, "order to start refused as unwell", now.monotonicMillis());
    }
    giveUpStart(run, now);
  }

  /**
   * Gives up a run of which no request is open. Only one that was sent can still be carried out.
   */
  private void giveUpStart(RunState run, ClockReading now) {
    if (run.startUnanswered) {
      markInDoubt(run, now);
    } else {
      proposeNeverStarted(run, now);
    }
  }

  /** Keeps a start that did not leave this process for another try, with the next tick. */
  private void handleNotSent(RunState run, ClockReading now) {
    run.startTries--;
    if (isStartWanted(run, now)) {
      queueStart(run);
    } else {
      giveUpStart(run, now);
    }
  }

  private boolean isStartWanted(RunState run, ClockReading now) {
    boolean hasTime =
        run.worker.clockAt(now.monotonicMillis()) + START_MARGIN_MILLIS < run.startDeadline;
    return hasTime && !run.endProposed && !isUnwanted(run) && state.ledger.isOpen(run.id);
  }

  private static String capacityDetail(WorkerSession worker) {
    return " free=" + worker.free() + " runs=" + worker.runs.size();
  }

  private void handleUnanswered(RunState run, ClockReading now) {
    run.startUnanswered = true;
    state.startAttempted(run);
    state.report(
        ScopeEvent.of(
            Kind.START_UNANSWERED, run.id, run.worker.info.key(), "try=" + run.startTries));
    if (run.startTries < MAX_START_TRIES && isStartWanted(run, now)) {
      sendStart(run, now.monotonicMillis());
    } else {
      markInDoubt(run, now);
    }
  }

  /**
   * Stops a run whose start has an unknown outcome. The other members of its gang are stopped too:
   * they would wait for it until they time out and end on their own.
   */
  private void markInDoubt(RunState run, ClockReading now) {
    run.phase = RunState.Phase.IN_DOUBT;
    state.markStopRequested(run);
    sendStop(run, now.monotonicMillis());
    if (run.spec.gang()) {
      stopGang(run, "start of member " + run.id.task().index() + " is in doubt", now);
    }
  }

  /**
   * Delays the next start of a long-running step of which a run has ended soon after its start, so
   * that runs that end over and over do not take the time of the leader and of the log. The other
   * ends during the delay do not prolong it.
   */
  void delayRestart(RunState run, long nowMillis) {
    if (nowMillis - run.runningSinceMillis < SHORT_RUN_MILLIS) {
      long untilMillis = nowMillis + state.settings.retryDelayMillis();
      state.notBefore.merge(
          run.id.task().stepKey(),
          untilMillis,
          (present, added) -> present > nowMillis ? present : added);
    }
  }

  /** Proposes to record that a run never started and never will. */
  void proposeNeverStarted(RunState run, ClockReading now) {
    state.notBefore.put(
        run.id.task().stepKey(), now.monotonicMillis() + state.settings.retryDelayMillis());
    proposeEnd(run, RunOutcome.NEVER_STARTED, now);
  }

  /** Proposes again the ends of runs that never started, where the log did not accept them. */
  void retryUnrecordedEnds(ClockReading now) {
    List<RunState> unrecorded = List.copyOf(state.unrecordedEnds);
    state.unrecordedEnds.clear();
    state.examined(unrecorded.size());
    for (RunState run : unrecorded) {
      if (state.runs.get(run.id) == run) {
        proposeNeverStarted(run, now);
      }
    }
  }

  /** Proposes the end of a run that its worker does not report as ended. */
  void proposeEnd(RunState run, RunOutcome outcome, ClockReading now) {
    if (run.endProposed) {
      return;
    }
    run.endProposed = true;
    state.proposeConcludedEnd(
        run.worker.info.key(), new RunEnd(run.id, outcome, ""), now.wallMillis());
  }

  /** Stops a run, whatever the state of its start. */
  void stop(RunState run, String reason, ClockReading now) {
    if (run.stopRequested || run.endProposed) {
      return;
    }
    state.markStopRequested(run);
    state.report(ScopeEvent.of(Kind.STOPPING, run.id, run.worker.info.key(), "why=" + reason));
    if (run.isDispatched()) {
      sendStop(run, now.monotonicMillis());
    }
  }

  /** Stops the members of a gang that belong to the same attempt as a run. */
  void stopGang(RunState run, String reason, ClockReading now) {
    for (RunState member : state.runsOf(run.id.task().stepKey())) {
      if (member.id.attempt() == run.id.attempt()) {
        stop(member, reason, now);
      }
    }
  }

  private void sendStop(RunState run, long nowMillis) {
    run.stopInFlight = true;
    run.nextStopMillis = nowMillis + STOP_RETRY_MILLIS;
    state.emit(
        new ScopeAction.Stop(run.worker.info.key(), run.worker.info.address(), run.id, state.term));
  }

  /** Handles the result of a stop request. */
  void handleStopResult(RunId id, StopResult result, ClockReading now) {
    RunState run = state.runs.get(id);
    if (run == null) {
      return;
    }
    run.stopInFlight = false;
    if (result != StopResult.NO_ANSWER) {
      run.worker.recordResponse(now.monotonicMillis());
    }
    if (result == StopResult.STOPPING) {
      run.stopConfirmedMillis = Math.min(run.stopConfirmedMillis, now.monotonicMillis());
      overdueResponses.expectEnd(run, now.monotonicMillis());
      state.stopping.remove(run);
      pollSoon(run.worker, now.monotonicMillis());
    } else if (result == StopResult.OTHER_LIFETIME) {
      proposeRemoval(run.worker);
    }
  }

  /** Sends stop requests again that were not answered. */
  void resendStops(long nowMillis) {
    state.examined(state.stopping.size());
    state.stopping.forEach(run -> resendIfDue(run, nowMillis));
  }

  private void resendIfDue(RunState run, long nowMillis) {
    boolean isUnanswered =
        run.stopRequested
            && run.isDispatched()
            && !run.endProposed
            && !run.stopInFlight
            && run.stopConfirmedMillis == Long.MAX_VALUE;
    if (isUnanswered && nowMillis >= run.nextStopMillis) {
      sendStop(run, nowMillis);
    }
  }

  /** Records that a worker has responded. */
  void recordResponse(WorkerSession worker, long clockMillis, long nowMillis) {
    worker.recordResponse(nowMillis);
    if (clockMillis > 0) {
      worker.recordClock(clockMillis, nowMillis);
    }
  }

  void pollSoon(WorkerSession worker, long nowMillis) {
    worker.nextPollMillis = Math.min(worker.nextPollMillis, nowMillis);
    state.pollQueue.enqueue(worker);
  }

  /** Polls a worker that has not answered another request, whether it has runs or not. */
  void pollUnresponsive(WorkerSession worker, long nowMillis) {
    worker.pollRequested = true;
    pollSoon(worker, nowMillis);
  }

  /** Quarantines a worker: it is given no new runs for a while. */
  void quarantine(WorkerSession worker, String reason, long nowMillis) {
    if (!state.settings.isEnabled(ScopeFeature.QUARANTINE)) {
      return;
    }
    worker.quarantinedUntilMillis = nowMillis + state.settings.quarantineMillis();
    state.report(ScopeEvent.of(Kind.WORKER_ASIDE, worker.info.key(), "why=" + reason));
  }

  /** Proposes to remove an incarnation of a worker that is over. */
  void proposeRemoval(WorkerSession worker) {
    WorkerKey key = worker.info.key();
    if (!worker.removalProposed) {
      worker.removalProposed = true;
      state.propose(new ScopeCommand.ForgetWorker(key));
    }
  }
}
