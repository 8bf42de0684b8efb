package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.PollResult.EndedEntry;
import org.primrosegauge.core.scope.PollResult.RunningEntry;
import org.primrosegauge.core.scope.RunEnd;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeEvent;
import org.primrosegauge.core.scope.ScopeEvent.Kind;
import org.primrosegauge.core.scope.WorkerRecord;

/**
 * Polls workers that have runs: renews their leases and learns of progress and ends.
 *
 * <p>Workers may be partitioned, crash, or be polled by a new leader. A run is over only when the
 * worker reports so, when the worker's incarnation is over, or when the lease has expired on the
 * slowest clock allowed.
 *
 * <p>Not thread-safe.
 */
final class WorkerPoller {

  /** Delay before a failed poll is repeated, in milliseconds. */
  private static final long POLL_RETRY_MILLIS = 150;

  /**
   * Time that a proposal is given to be applied before the worker is polled again, in milliseconds.
   */
  private static final long COMMIT_WAIT_MILLIS = 250;

  /** Time after the computed end of a lease before it counts as expired, in milliseconds. */
  static final long EXPIRY_SLACK_MILLIS = 300;

  /** Delay before the removal of a worker is tried again, in milliseconds. */
  private static final long REMOVAL_RETRY_MILLIS = 1_000;

  /** A single lost response proves little, and a log entry for each would flood the log. */
  private static final int FAILURES_BEFORE_SUSPENSION = 2;

  /**
   * Largest number of workers that are polled for the first time in a term within {@link
   * #FIRST_POLL_MILLIS}. A new leader has to poll all workers, each over a new connection, while it
   * has to prove its leadership to the other replicas.
   */
  private static final int MAX_FIRST_POLLS = 64;

  /**
   * Time after which an unanswered first poll no longer counts against {@link #MAX_FIRST_POLLS}, in
   * milliseconds.
   */
  private static final long FIRST_POLL_MILLIS = 100;

  private final ScopeState state;
  private final RunLifecycle lifecycle;
  private final OverdueResponses overdueResponses;
  private final Map<RunId, Long> unknownRuns = new HashMap<>();

  /** Workers whose first poll in this term is in flight. */
  private final Set<WorkerSession> firstPolls = new HashSet<>();

  WorkerPoller(ScopeState state, RunLifecycle lifecycle, OverdueResponses overdueResponses) {
    this.state = state;
    this.lifecycle = lifecycle;
    this.overdueResponses = overdueResponses;
  }

  /** Polls the workers for which that is due. */
  void pollDueWorkers(ClockReading now) {
    List<WorkerSession> due = state.pollQueue.take(now.monotonicMillis());
    state.examined(due.size());
    int firstPollBudget = MAX_FIRST_POLLS - countRecentFirstPolls(now.monotonicMillis());
    for (WorkerSession worker : due) {
      boolean isKnown = state.sessions.get(worker.info.key()) == worker;
      if (!isKnown || worker.pollInFlight || !needsPoll(worker)) {
        continue;
      }
      if (now.monotonicMillis() < worker.nextPollMillis) {
        state.pollQueue.enqueueDelayed(worker);
      } else if (!isFirstPoll(worker)) {
        poll(worker, now);
      } else if (firstPollBudget > 0) {
        firstPollBudget--;
        firstPolls.add(worker);
        poll(worker, now);
      } else {
        state.pollQueue.enqueue(worker);
      }
    }
  }

  private int countRecentFirstPolls(long nowMillis) {
    state.examined(firstPolls.size());
    firstPolls.removeIf(
        worker -> !isFirstPoll(worker) || nowMillis - worker.pollSentMillis >= FIRST_POLL_MILLIS);
    return firstPolls.size();
  }

  private static boolean isFirstPoll(WorkerSession worker) {
    return !worker.confirmed && worker.pollFailures == 0;
  }

  private void poll(WorkerSession worker, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    boolean hasRuns = worker.hasDispatchedRuns();
    boolean isResponsive = worker.pollFailures == 0;
    boolean mayRenew = worker.knowsClock() && !worker.removalProposed && !worker.renewalSuspended;
    // A renewal counts when it is sent: one with each retry would extend a lost worker's lease.
    boolean renews =
        hasRuns && mayRenew && (isResponsive || state.renewsUnresponsive(worker, nowMillis));
    long deadline = renews ? worker.clockAt(nowMillis) + state.settings.leaseMillis() : 0;
    worker.latestDeadline = Math.max(worker.latestDeadline, deadline);
    final long lastEnd = lastRecordedEnd(worker);
    worker.pollInFlight = true;
    worker.pollRequested = false;
    worker.pollSentMillis = nowMillis;
    worker.acknowledgedEnd = Math.max(worker.acknowledgedEnd, lastEnd);
    boolean mayWait = hasRuns && isResponsive && worker.confirmed;
    long waitMillis = mayWait ? state.settings.pollWaitMillis() : 0;
    if (hasRuns && isResponsive) {
      overdueResponses.expectPoll(worker, waitMillis, nowMillis);
    }
    state.emit(
        new ScopeAction.Poll(
            worker.info.key(), worker.info.address(), deadline, lastEnd, waitMillis, state.term));
  }

  /**
   * Tells whether a worker needs a poll. One without runs is polled only to confirm it and to
   * acknowledge its recorded ends.
   */
  private boolean needsPoll(WorkerSession worker) {
    return !worker.confirmed
        || worker.pollRequested
        || worker.pollFailures > 0
        || worker.acknowledgedEnd < lastRecordedEnd(worker)
        || worker.hasDispatchedRuns();
  }

  private long lastRecordedEnd(WorkerSession worker) {
    return state.ledger.worker(worker.info.key()).map(WorkerRecord::lastEnd).orElse(0L);
  }

  /** Handles the result of a poll. */
  void handlePollResult(WorkerSession worker, PollResult result, ClockReading now) {
    worker.pollInFlight = false;
    state.pollQueue.enqueue(worker);
    switch (result.kind()) {
      case REPORT -> handleReport(worker, result, now);
      case OTHER_LIFETIME -> lifecycle.proposeRemoval(worker);
      case REFUSED -> handleRefused(worker, now.monotonicMillis());
      default -> handleFailed(worker, result.kind(), now.monotonicMillis());
    }
  }

  private void handleRefused(WorkerSession worker, long nowMillis) {
    if (worker.exitAnnounced || worker.removalProposed) {
      // A refused connection alone may be a network fault; after the announced exit it is proof.
      lifecycle.proposeRemoval(worker);
    }
    handleFailed(worker, PollResult.Kind.REFUSED, nowMillis);
  }

  private void handleFailed(WorkerSession worker, PollResult.Kind kind, long nowMillis) {
    if (worker.pollFailures == 0) {
      String detail = "answer=" + kind + " runs=" + worker.runs.size();
      state.report(ScopeEvent.of(Kind.WORKER_SILENT, worker.info.key(), detail));
    }
    worker.pollFailures++;
    worker.runs.values().forEach(run -> run.isObservable = false);
    state.unresponsive.add(worker);
    worker.nextPollMillis = nowMillis + POLL_RETRY_MILLIS;
  }

  private void handleReport(WorkerSession worker, PollResult result, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    if (worker.pollFailures > 0) {
      worker.pollFailures = 0;
      state.unresponsive.remove(worker);
      state.dirty = true;
      state.report(ScopeEvent.of(Kind.WORKER_BACK, worker.info.key(), ""));
    }
    lifecycle.recordResponse(worker, result.clockMillis(), nowMillis);
    if (!worker.confirmed) {
      worker.confirmed = true;
      state.dirty = true;
      // An earlier leader may have granted a lease of full length just before this term.
      worker.latestDeadline =
          Math.max(worker.latestDeadline, result.clockMillis() + state.settings.leaseMillis());
    }
    worker.nextPollMillis = nowMillis;
    if (worker.renewalSuspended) {
      // The poll that renews the lease follows as soon as the log has applied the command.
      worker.nextPollMillis = nowMillis + COMMIT_WAIT_MILLIS;
      proposeRenewalSwitch(List.of(worker), false);
    }
    state.examined(worker.runs.size() + result.ended().size() + result.running().size());
    Set<RunId> ended = recordEnds(worker, result.ended(), now);
    Set<RunId> running = recordRunning(worker, result.running(), now);
    if (result.isComplete()) {
      endMissingRuns(worker, running, ended, now);
    }
  }

  /** Records the ends that the response to a probe reports. */
  void recordProbedEnds(WorkerSession worker, PollResult result, ClockReading now) {
    if (worker.confirmed && result.kind() == PollResult.Kind.REPORT) {
      recordEnds(worker, result.ended(), now);
    }
  }

  private Set<RunId> recordEnds(WorkerSession worker, List<EndedEntry> entries, ClockReading now) {
    Set<RunId> listed = new HashSet<>();
    List<RunEnd> newEnds = new ArrayList<>();
    long known = Math.max(lastRecordedEnd(worker), worker.proposedEnd);
    long last = known;
    for (EndedEntry entry : entries) {
      listed.add(entry.end().run());
      if (entry.number() > known) {
        last = Math.max(last, entry.number());
        RunState run = state.runs.get(entry.end().run());
        newEnds.add(withObservedTime(entry.end(), run, now.monotonicMillis()));
        if (run != null) {
          run.endProposed = true;
        }
      }
    }
    if (last > known) {
      worker.proposedEnd = last;
      // Until the log has applied them, the worker would respond at once with the same ends.
      worker.nextPollMillis = now.monotonicMillis() + COMMIT_WAIT_MILLIS;
      state.propose(
          new ScopeCommand.RecordEnds(worker.info.key(), last, newEnds, now.wallMillis()));
    }
    return listed;
  }

  /** Adds how long a task took. One task of each step is enough, as all are alike. */
  private static RunEnd withObservedTime(RunEnd end, RunState run, long nowMillis) {
    boolean isObserved =
        run != null && end.outcome() == RunOutcome.DONE && end.run().task().index() == 0;
    return isObserved ? end.withObservedMillis(run.observedMillis(nowMillis)) : end;
  }

  private Set<RunId> recordRunning(
      WorkerSession worker, List<RunningEntry> entries, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    Set<RunId> listed = new HashSet<>();
    for (RunningEntry entry : entries) {
      listed.add(entry.run());
      RunState run = state.runs.get(entry.run());
      if (run == null || run.worker != worker) {
        stopUnknown(worker, entry.run(), nowMillis);
        continue;
      }
      if (run.phase == RunState.Phase.STARTING || run.phase == RunState.Phase.RECOVERED) {
        state.markRunning(run, nowMillis);
      }
      run.recordProgress(entry.percent(), entry.checkpoint(), nowMillis);
    }
    return listed;
  }

  /**
   * Stops a run that the ledger no longer holds on this worker: its start request was carried out
   * late.
   */
  private void stopUnknown(WorkerSession worker, RunId run, long nowMillis) {
    Long last = unknownRuns.get(run);
    if (last != null && nowMillis - last < POLL_RETRY_MILLIS) {
      return;
    }
    unknownRuns.put(run, nowMillis);
    state.report(ScopeEvent.of(Kind.UNKNOWN_RUN, run, worker.info.key(), ""));
    state.emit(new ScopeAction.Stop(worker.info.key(), worker.info.address(), run, state.term));
  }

  /**
   * Ends the runs that the worker should have and does not report. A report that does not list all
   * ends proves nothing about the runs that it lacks: their ends may be among those that follow.
   */
  private void endMissingRuns(
      WorkerSession worker, Set<RunId> running, Set<RunId> ended, ClockReading now) {
    for (RunState run : List.copyOf(worker.runs.values())) {
      boolean isListed = running.contains(run.id) || ended.contains(run.id);
      if (isListed || run.endProposed || !isReportConclusive(run, worker)) {
        continue;
      }
      boolean wasRunning = run.phase == RunState.Phase.RUNNING;
      if (wasRunning) {
        lifecycle.proposeEnd(run, RunOutcome.LAPSED, now);
      } else {
        lifecycle.proposeNeverStarted(run, now);
      }
    }
  }

  /**
   * Tells whether a missing entry proves that a run is over: the poll was sent after the run had
   * started or could no longer start.
   */
  private static boolean isReportConclusive(RunState run, WorkerSession worker) {
    return switch (run.phase) {
      case PROPOSED, STARTING -> false;
      case RECOVERED -> true;
      case RUNNING -> run.runningSinceMillis < worker.pollSentMillis;
      case IN_DOUBT -> run.stopConfirmedMillis < worker.pollSentMillis;
    };
  }

  /**
   * Proposes to record which workers have become unresponsive, so that a later leader can count the
   * expiry of their leases from now on.
   */
  void suspendDueRenewals(long nowMillis) {
    state.examined(state.unresponsive.size());
    List<WorkerSession> due =
        state.unresponsive.stream().filter(worker -> isSuspensionDue(worker, nowMillis)).toList();
    if (!due.isEmpty()) {
      proposeRenewalSwitch(due, true);
    }
  }

  private boolean isSuspensionDue(WorkerSession worker, long nowMillis) {
    return worker.pollFailures >= FAILURES_BEFORE_SUSPENSION
        && !state.renewsUnresponsive(worker, nowMillis)
        && !worker.renewalSuspended
        && !worker.renewalSwitchProposed
        && worker.hasDispatchedRuns();
  }

  private void proposeRenewalSwitch(List<WorkerSession> workers, boolean isSuspended) {
    List<WorkerSession> unproposed =
        workers.stream().filter(worker -> !worker.renewalSwitchProposed).toList();
    if (!unproposed.isEmpty()) {
      unproposed.forEach(worker -> worker.renewalSwitchProposed = true);
      state.propose(
          new ScopeCommand.SwitchRenewal(
              unproposed.stream().map(worker -> worker.info.key()).toList(), isSuspended));
    }
  }

  /** Handles a change of a worker's lease renewal that the log has applied. */
  void renewalSwitched(WorkerSession worker, boolean isSuspended, ClockReading now) {
    worker.renewalSuspended = isSuspended;
    worker.renewalSwitchProposed = false;
    state.dirty = true;
    boolean isResponsive = worker.confirmed && worker.pollFailures == 0;
    if (isSuspended && isResponsive) {
      proposeRenewalSwitch(List.of(worker), false);
    } else if (!isSuspended) {
      lifecycle.pollSoon(worker, now.monotonicMillis());
    }
  }

  /** Proposes to end the runs on unresponsive workers whose lease has expired. */
  void expireDueLeases(ClockReading now) {
    state.examined(state.unresponsive.size());
    state.unresponsive.forEach(worker -> expireIfDue(worker, now));
  }

  /**
   * Proposes to remove workers that have no runs and have been silent for longer than any lease
   * lasts, so that they neither count as capacity nor are polled. A worker that was only
   * partitioned is registered again by its next heartbeat.
   */
  void removeSilentWorkers(long nowMillis) {
    Optional<WorkerSession> next = state.silenceChecks.take(nowMillis);
    while (next.isPresent()) {
      state.examined(1);
      WorkerSession worker = next.get();
      if (state.sessions.get(worker.info.key()) == worker) {
        removeIfDue(worker, nowMillis);
      }
      next = state.silenceChecks.take(nowMillis);
    }
  }

  private void removeIfDue(WorkerSession worker, long nowMillis) {
    long lastContactMillis = Math.max(worker.lastResponseMillis, worker.lastHeartbeatMillis);
    long removableFromMillis = lastContactMillis + state.maxLeaseMillis() + EXPIRY_SLACK_MILLIS;
    if (nowMillis >= removableFromMillis && worker.runs.isEmpty()) {
      lifecycle.proposeRemoval(worker);
    }
    state.silenceChecks.add(
        worker, Math.max(removableFromMillis, nowMillis + REMOVAL_RETRY_MILLIS));
  }

  private void expireIfDue(WorkerSession worker, ClockReading now) {
    if (worker.runs.isEmpty()) {
      return;
    }
    boolean isExpired =
        worker.isLeaseExpired(
            now.monotonicMillis(), state.settings.maxClockDriftPercent(), EXPIRY_SLACK_MILLIS);
    if (!isExpired) {
      return;
    }
    state.examined(worker.runs.size());
    List<RunEnd> ends = new ArrayList<>();
    for (RunState run : worker.runs.values()) {
      if (run.isDispatched() && !run.endProposed) {
        run.endProposed = true;
        ends.add(new RunEnd(run.id, RunOutcome.LAPSED, run.checkpoint));
      }
    }
    if (!ends.isEmpty()) {
      state.propose(new ScopeCommand.RecordEnds(worker.info.key(), 0, ends, now.wallMillis()));
    }
  }
}
