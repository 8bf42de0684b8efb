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
 * Looks at workers that run something: renews their leases, learns progress and ends.
 *
 * <p>Answers workers that are cut off, crash or are met by a new leader: a run is over only when
 * the worker says so, when its lifetime is over, or when its lease has run out on the slowest
 * clock.
 *
 * <p>Not thread-safe.
 */
final class WorkerPoller {

  private static final long POLL_RETRY_MILLIS = 150;
  private static final long COMMIT_WAIT_MILLIS = 250;
  static final long EXPIRY_SLACK_MILLIS = 300;

  /** Pause after which it is tried again to forget a worker. */
  private static final long REMOVAL_RETRY_MILLIS = 1_000;

  /** A single answer that is lost says little, and a record for each would fill the log. */
  private static final int FAILURES_BEFORE_SUSPENSION = 2;

  /**
   * Most workers that are looked at for the first time in a term within {@link #FIRST_POLL_MILLIS}.
   * A new leader meets all workers at once, each with a new connection, while it has to prove to
   * the other replicas that it leads.
   */
  private static final int MAX_FIRST_POLLS = 64;

  /** Time after which an unanswered first look keeps no other waiting. */
  private static final long FIRST_POLL_MILLIS = 100;

  private final ScopeState state;
  private final RunLifecycle lifecycle;
  private final Map<RunId, Long> unknownRuns = new HashMap<>();

  /** Workers whose first look in this term is on its way. */
  private final Set<WorkerSession> firstPolls = new HashSet<>();

  WorkerPoller(ScopeState state, RunLifecycle orders) {
    this.state = state;
    this.lifecycle = orders;
  }

  // Sending

  /** Looks at the workers for which that is due. */
  void pollDueWorkers(ClockReading now) {
    List<WorkerSession> touched = state.pollQueue.take(now.monotonicMillis());
    state.examined(touched.size());
    int room = MAX_FIRST_POLLS - countRecentFirstPolls(now.monotonicMillis());
    for (WorkerSession worker : touched) {
      boolean isKnown = state.sessions.get(worker.info.key()) == worker;
      if (!isKnown || worker.pollInFlight || !needsPoll(worker)) {
        continue;
      }
      if (now.monotonicMillis() < worker.nextPollMillis) {
        state.pollQueue.enqueueDelayed(worker);
      } else if (!isFirstPoll(worker)) {
        poll(worker, now);
      } else if (room > 0) {
        room--;
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
    boolean answers = worker.pollFailures == 0;
    boolean mayRenew = worker.knowsClock() && !worker.removalProposed && !worker.renewalSuspended;
    // A renewal counts from its sending: one for each retry would keep a lost worker's lease alive.
    boolean renews =
        hasRuns && mayRenew && (answers || state.renewsUnresponsive(worker, nowMillis));
    long deadline = renews ? worker.clockAt(nowMillis) + state.settings.leaseMillis() : 0;
    worker.latestDeadline = Math.max(worker.latestDeadline, deadline);
    long lastEnd = lastRecordedEnd(worker);
    worker.pollInFlight = true;
    worker.pollSentMillis = nowMillis;
    worker.acknowledgedEnd = Math.max(worker.acknowledgedEnd, lastEnd);
    boolean waits = hasRuns && answers && worker.confirmed;
    state.emit(
        new ScopeAction.Poll(
            worker.info.key(),
            worker.info.address(),
            deadline,
            lastEnd,
            waits ? state.settings.pollWaitMillis() : 0,
            state.term));
  }

  /** A worker that runs nothing is looked at only to confirm it and to let it forget its ends. */
  private boolean needsPoll(WorkerSession worker) {
    return !worker.confirmed
        || worker.pollFailures > 0
        || worker.acknowledgedEnd < lastRecordedEnd(worker)
        || worker.hasDispatchedRuns();
  }

  private long lastRecordedEnd(WorkerSession worker) {
    return state.ledger.worker(worker.info.key()).map(WorkerRecord::lastEnd).orElse(0L);
  }

  // Answers

  /** Takes the answer to a look. */
  void handlePollResult(WorkerSession worker, PollResult answer, ClockReading now) {
    worker.pollInFlight = false;
    state.pollQueue.enqueue(worker);
    switch (answer.kind()) {
      case REPORT -> handleReport(worker, answer, now);
      case OTHER_LIFETIME -> lifecycle.proposeRemoval(worker);
      case REFUSED -> handleRefused(worker, now.monotonicMillis());
      default -> handleFailed(worker, answer.kind(), now.monotonicMillis());
    }
  }

  private void handleRefused(WorkerSession worker, long nowMillis) {
    if (worker.exitAnnounced || worker.removalProposed) {
      // A refused connection alone may be a cut; together with its last word it is its end.
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
    state.unresponsive.add(worker);
    worker.nextPollMillis = nowMillis + POLL_RETRY_MILLIS;
  }

  private void handleReport(WorkerSession worker, PollResult answer, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    if (worker.pollFailures > 0) {
      worker.pollFailures = 0;
      state.unresponsive.remove(worker);
      state.dirty = true;
      state.report(ScopeEvent.of(Kind.WORKER_BACK, worker.info.key(), ""));
    }
    lifecycle.recordResponse(worker, answer.clockMillis(), nowMillis);
    if (!worker.confirmed) {
      worker.confirmed = true;
      state.dirty = true;
      // An earlier leader may have granted a lease of full length just before this term.
      worker.latestDeadline =
          Math.max(worker.latestDeadline, answer.clockMillis() + state.settings.leaseMillis());
    }
    worker.nextPollMillis = nowMillis;
    if (worker.renewalSuspended) {
      // The look that renews its lease follows as soon as the log has it.
      worker.nextPollMillis = nowMillis + COMMIT_WAIT_MILLIS;
      proposeRenewalSwitch(List.of(worker), false);
    }
    state.examined(worker.runs.size() + answer.ended().size() + answer.running().size());
    Set<RunId> ended = recordEnds(worker, answer.ended(), now);
    Set<RunId> running = recordRunning(worker, answer.running(), now);
    endMissingRuns(worker, running, ended, now);
  }

  private Set<RunId> recordEnds(WorkerSession worker, List<EndedEntry> entries, ClockReading now) {
    Set<RunId> listed = new HashSet<>();
    List<RunEnd> fresh = new ArrayList<>();
    long known = Math.max(lastRecordedEnd(worker), worker.proposedEnd);
    long last = known;
    for (EndedEntry entry : entries) {
      listed.add(entry.end().run());
      if (entry.number() > known) {
        last = Math.max(last, entry.number());
        fresh.add(entry.end());
        RunState run = state.runs.get(entry.end().run());
        if (run != null) {
          run.endProposed = true;
        }
      }
    }
    if (last > known) {
      worker.proposedEnd = last;
      // Until the log has them the worker would answer at once with the same ends.
      worker.nextPollMillis = now.monotonicMillis() + COMMIT_WAIT_MILLIS;
      state.propose(new ScopeCommand.RecordEnds(worker.info.key(), last, fresh, now.wallMillis()));
    }
    return listed;
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

  /** A run that the ledger does not hold here any more was started late; it has no business. */
  private void stopUnknown(WorkerSession worker, RunId run, long nowMillis) {
    Long last = unknownRuns.get(run);
    if (last != null && nowMillis - last < POLL_RETRY_MILLIS) {
      return;
    }
    unknownRuns.put(run, nowMillis);
    state.report(ScopeEvent.of(Kind.UNKNOWN_RUN, run, worker.info.key(), ""));
    state.emit(new ScopeAction.Stop(worker.info.key(), worker.info.address(), run, state.term));
  }

  /** Finds runs that the worker should have and does not list. */
  private void endMissingRuns(
      WorkerSession worker, Set<RunId> running, Set<RunId> ended, ClockReading now) {
    for (RunState run : List.copyOf(worker.runs.values())) {
      boolean isListed = running.contains(run.id) || ended.contains(run.id);
      if (isListed || run.endProposed || !isReportConclusive(run, worker)) {
        continue;
      }
      boolean hadBegun = run.phase == RunState.Phase.RUNNING;
      if (hadBegun) {
        lifecycle.proposeEnd(run, RunOutcome.LAPSED, now);
      } else {
        lifecycle.proposeNeverStarted(run, now);
      }
    }
  }

  /** Tells whether the look was sent after the run either began or could begin no more. */
  private static boolean isReportConclusive(RunState run, WorkerSession worker) {
    return switch (run.phase) {
      case PROPOSED, STARTING -> false;
      case RECOVERED -> true;
      case RUNNING -> run.runningSinceMillis < worker.pollSentMillis;
      case IN_DOUBT -> run.stopConfirmedMillis < worker.pollSentMillis;
    };
  }

  // Renewal

  /**
   * Has the log record which workers fell silent, so that a later leader counts their leases from
   * now on.
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
    List<WorkerSession> open =
        workers.stream().filter(worker -> !worker.renewalSwitchProposed).toList();
    if (!open.isEmpty()) {
      open.forEach(worker -> worker.renewalSwitchProposed = true);
      state.propose(
          new ScopeCommand.SwitchRenewal(
              open.stream().map(worker -> worker.info.key()).toList(), isSuspended));
    }
  }

  /** Takes in what the log says of a worker's leases. */
  void renewalSwitched(WorkerSession worker, boolean isSuspended, ClockReading now) {
    worker.renewalSuspended = isSuspended;
    worker.renewalSwitchProposed = false;
    state.dirty = true;
    boolean isBack = worker.confirmed && worker.pollFailures == 0;
    if (isSuspended && isBack) {
      proposeRenewalSwitch(List.of(worker), false);
    } else if (!isSuspended) {
      lifecycle.pollSoon(worker, now.monotonicMillis());
    }
  }

  // Time

  /** Records which leases on workers that cannot be reached are over. */
  void expireDueLeases(ClockReading now) {
    state.examined(state.unresponsive.size());
    state.unresponsive.forEach(worker -> expireIfDue(worker, now));
  }

  /**
   * Forgets workers that run nothing and said nothing for longer than any lease lasts, so that they
   * neither count as room nor are looked at. One that was only cut off is met again with its next
   * heartbeat.
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
    long heardMillis = Math.max(worker.lastResponseMillis, worker.lastHeartbeatMillis);
    long silentFromMillis = heardMillis + state.maxLeaseMillis() + EXPIRY_SLACK_MILLIS;
    if (nowMillis >= silentFromMillis && worker.runs.isEmpty()) {
      lifecycle.proposeRemoval(worker);
    }
    state.silenceChecks.add(worker, Math.max(silentFromMillis, nowMillis + REMOVAL_RETRY_MILLIS));
  }

  private void expireIfDue(WorkerSession worker, ClockReading now) {
    if (worker.runs.isEmpty()) {
      return;
    }
    boolean isOver =
        worker.isLeaseExpired(
            now.monotonicMillis(), state.settings.maxClockDriftPercent(), EXPIRY_SLACK_MILLIS);
    if (!isOver) {
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
