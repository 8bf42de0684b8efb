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
final class WorkerLooks {

  private static final long LOOK_RETRY_MILLIS = 150;
  private static final long COMMIT_WAIT_MILLIS = 250;
  static final long LAPSE_SLACK_MILLIS = 300;

  /** Pause after which it is tried again to forget a worker. */
  private static final long FORGET_RETRY_MILLIS = 1_000;

  /** A single answer that is lost says little, and a record for each would fill the log. */
  private static final int FAILURES_BEFORE_SUSPENSION = 2;

  /**
   * Most workers that are looked at for the first time in a term within {@link #FIRST_LOOK_MILLIS}.
   * A new leader meets all workers at once, each with a new connection, while it has to prove to
   * the other replicas that it leads.
   */
  private static final int MAX_FIRST_LOOKS = 64;

  /** Time after which an unanswered first look keeps no other waiting. */
  private static final long FIRST_LOOK_MILLIS = 100;

  private final ScopeState state;
  private final RunOrders orders;
  private final Map<RunId, Long> unknownRuns = new HashMap<>();

  /** Workers whose first look in this term is on its way. */
  private final Set<WorkerSession> firstLooks = new HashSet<>();

  WorkerLooks(ScopeState state, RunOrders orders) {
    this.state = state;
    this.orders = orders;
  }

  // Sending

  /** Looks at the workers for which that is due. */
  void lookWhereDue(ClockReading present) {
    List<WorkerSession> touched = state.looks.take(present.monotonicMillis());
    state.examined(touched.size());
    int room = MAX_FIRST_LOOKS - youngFirstLooks(present.monotonicMillis());
    for (WorkerSession worker : touched) {
      boolean isKnown = state.sessions.get(worker.info.key()) == worker;
      if (!isKnown || worker.lookInFlight || !needsLook(worker)) {
        continue;
      }
      if (present.monotonicMillis() < worker.nextLookMillis) {
        state.looks.delay(worker);
      } else if (!isFirstLook(worker)) {
        look(worker, present);
      } else if (room > 0) {
        room--;
        firstLooks.add(worker);
        look(worker, present);
      } else {
        state.looks.touch(worker);
      }
    }
  }

  private int youngFirstLooks(long nowMillis) {
    state.examined(firstLooks.size());
    firstLooks.removeIf(
        worker -> !isFirstLook(worker) || nowMillis - worker.lookSentMillis >= FIRST_LOOK_MILLIS);
    return firstLooks.size();
  }

  private static boolean isFirstLook(WorkerSession worker) {
    return !worker.confirmed && worker.lookFailures == 0;
  }

  private void look(WorkerSession worker, ClockReading present) {
    long now = present.monotonicMillis();
    boolean hasRuns = worker.hasOrderedRuns();
    boolean answers = worker.lookFailures == 0;
    boolean mayRenew = worker.knowsClock() && !worker.left && !worker.renewalSuspended;
    // A renewal counts from its sending: one for each retry would keep a lost worker's lease alive.
    boolean renews = hasRuns && mayRenew && (answers || state.keepsSilent(worker, now));
    long deadline = renews ? worker.clockAt(now) + state.settings.leaseMillis() : 0;
    worker.longestDeadline = Math.max(worker.longestDeadline, deadline);
    long lastEnd = recorded(worker);
    worker.lookInFlight = true;
    worker.lookSentMillis = now;
    worker.toldEnd = Math.max(worker.toldEnd, lastEnd);
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
  private boolean needsLook(WorkerSession worker) {
    return !worker.confirmed
        || worker.lookFailures > 0
        || worker.toldEnd < recorded(worker)
        || worker.hasOrderedRuns();
  }

  private long recorded(WorkerSession worker) {
    return state.ledger.worker(worker.info.key()).map(WorkerRecord::lastEnd).orElse(0L);
  }

  // Answers

  /** Takes the answer to a look. */
  void answered(WorkerSession worker, PollResult answer, ClockReading present) {
    worker.lookInFlight = false;
    state.looks.touch(worker);
    switch (answer.kind()) {
      case REPORT -> reported(worker, answer, present);
      case OTHER_LIFETIME -> orders.lifetimeOver(worker);
      case REFUSED -> refused(worker, present.monotonicMillis());
      default -> failed(worker, answer.kind(), present.monotonicMillis());
    }
  }

  private void refused(WorkerSession worker, long nowMillis) {
    if (worker.saidItEnds || worker.left) {
      // A refused connection alone may be a cut; together with its last word it is its end.
      orders.lifetimeOver(worker);
    }
    failed(worker, PollResult.Kind.REFUSED, nowMillis);
  }

  private void failed(WorkerSession worker, PollResult.Kind kind, long nowMillis) {
    if (worker.lookFailures == 0) {
      String detail = "answer=" + kind + " runs=" + worker.runs.size();
      state.report(ScopeEvent.of(Kind.WORKER_SILENT, worker.info.key(), detail));
    }
    worker.lookFailures++;
    state.failing.add(worker);
    worker.nextLookMillis = nowMillis + LOOK_RETRY_MILLIS;
  }

  private void reported(WorkerSession worker, PollResult answer, ClockReading present) {
    long now = present.monotonicMillis();
    if (worker.lookFailures > 0) {
      worker.lookFailures = 0;
      state.failing.remove(worker);
      state.dirty = true;
      state.report(ScopeEvent.of(Kind.WORKER_BACK, worker.info.key(), ""));
    }
    orders.contacted(worker, answer.clockMillis(), now);
    if (!worker.confirmed) {
      worker.confirmed = true;
      state.dirty = true;
      // An earlier leader may have granted a lease of full length just before this term.
      worker.longestDeadline =
          Math.max(worker.longestDeadline, answer.clockMillis() + state.settings.leaseMillis());
    }
    worker.nextLookMillis = now;
    if (worker.renewalSuspended) {
      // The look that renews its lease follows as soon as the log has it.
      worker.nextLookMillis = now + COMMIT_WAIT_MILLIS;
      switchRenewal(List.of(worker), false);
    }
    state.examined(worker.runs.size() + answer.ended().size() + answer.running().size());
    Set<RunId> ended = recordEnds(worker, answer.ended(), present);
    Set<RunId> running = noteRunning(worker, answer.running(), present);
    findMissing(worker, running, ended, present);
  }

  private Set<RunId> recordEnds(
      WorkerSession worker, List<EndedEntry> entries, ClockReading present) {
    Set<RunId> listed = new HashSet<>();
    List<RunEnd> fresh = new ArrayList<>();
    long known = Math.max(recorded(worker), worker.proposedEnd);
    long last = known;
    for (EndedEntry entry : entries) {
      listed.add(entry.end().run());
      if (entry.number() > known) {
        last = Math.max(last, entry.number());
        fresh.add(entry.end());
        RunControl run = state.runs.get(entry.end().run());
        if (run != null) {
          run.endProposed = true;
        }
      }
    }
    if (last > known) {
      worker.proposedEnd = last;
      // Until the log has them the worker would answer at once with the same ends.
      worker.nextLookMillis = present.monotonicMillis() + COMMIT_WAIT_MILLIS;
      state.propose(
          new ScopeCommand.RecordEnds(worker.info.key(), last, fresh, present.wallMillis()));
    }
    return listed;
  }

  private Set<RunId> noteRunning(
      WorkerSession worker, List<RunningEntry> entries, ClockReading present) {
    long now = present.monotonicMillis();
    Set<RunId> listed = new HashSet<>();
    for (RunningEntry entry : entries) {
      listed.add(entry.run());
      RunControl run = state.runs.get(entry.run());
      if (run == null || run.worker != worker) {
        stopUnknown(worker, entry.run(), now);
        continue;
      }
      if (run.phase == RunControl.Phase.STARTING || run.phase == RunControl.Phase.INHERITED) {
        state.running(run, now);
      }
      run.progress(entry.percent(), entry.checkpoint(), now);
    }
    return listed;
  }

  /** A run that the ledger does not hold here any more was started late; it has no business. */
  private void stopUnknown(WorkerSession worker, RunId run, long nowMillis) {
    Long last = unknownRuns.get(run);
    if (last != null && nowMillis - last < LOOK_RETRY_MILLIS) {
      return;
    }
    unknownRuns.put(run, nowMillis);
    state.report(ScopeEvent.of(Kind.UNKNOWN_RUN, run, worker.info.key(), ""));
    state.emit(new ScopeAction.Stop(worker.info.key(), worker.info.address(), run, state.term));
  }

  /** Finds runs that the worker should have and does not list. */
  private void findMissing(
      WorkerSession worker, Set<RunId> running, Set<RunId> ended, ClockReading present) {
    for (RunControl run : List.copyOf(worker.runs.values())) {
      boolean isListed = running.contains(run.id) || ended.contains(run.id);
      if (isListed || run.endProposed || !isSettled(run, worker)) {
        continue;
      }
      boolean hadBegun = run.phase == RunControl.Phase.RUNNING;
      if (hadBegun) {
        orders.proposeEnd(run, RunOutcome.LAPSED, present);
      } else {
        orders.neverStarted(run, present);
      }
    }
  }

  /** Tells whether the look was sent after the run either began or could begin no more. */
  private static boolean isSettled(RunControl run, WorkerSession worker) {
    return switch (run.phase) {
      case PROPOSED, STARTING -> false;
      case INHERITED -> true;
      case RUNNING -> run.runningSinceMillis < worker.lookSentMillis;
      case IN_DOUBT -> run.barredMillis < worker.lookSentMillis;
    };
  }

  // Renewal

  /**
   * Has the log record which workers fell silent, so that a later leader counts their leases from
   * now on.
   */
  void suspendWhereDue(long nowMillis) {
    state.examined(state.failing.size());
    List<WorkerSession> due =
        state.failing.stream().filter(worker -> isSuspensionDue(worker, nowMillis)).toList();
    if (!due.isEmpty()) {
      switchRenewal(due, true);
    }
  }

  private boolean isSuspensionDue(WorkerSession worker, long nowMillis) {
    return worker.lookFailures >= FAILURES_BEFORE_SUSPENSION
        && !state.keepsSilent(worker, nowMillis)
        && !worker.renewalSuspended
        && !worker.renewalSwitchProposed
        && worker.hasOrderedRuns();
  }

  private void switchRenewal(List<WorkerSession> workers, boolean isSuspended) {
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
  void renewalSwitched(WorkerSession worker, boolean isSuspended, ClockReading present) {
    worker.renewalSuspended = isSuspended;
    worker.renewalSwitchProposed = false;
    state.dirty = true;
    boolean isBack = worker.confirmed && worker.lookFailures == 0;
    if (isSuspended && isBack) {
      switchRenewal(List.of(worker), false);
    } else if (!isSuspended) {
      orders.lookSoon(worker, present.monotonicMillis());
    }
  }

  // Time

  /** Records which leases on workers that cannot be reached are over. */
  void lapseWhereDue(ClockReading present) {
    state.examined(state.failing.size());
    state.failing.forEach(worker -> lapseIfDue(worker, present));
  }

  /**
   * Forgets workers that run nothing and said nothing for longer than any lease lasts, so that they
   * neither count as room nor are looked at. One that was only cut off is met again with its next
   * heartbeat.
   */
  void forgetWhereDue(long nowMillis) {
    Optional<WorkerSession> next = state.silences.take(nowMillis);
    while (next.isPresent()) {
      state.examined(1);
      WorkerSession worker = next.get();
      if (state.sessions.get(worker.info.key()) == worker) {
        forgetIfDue(worker, nowMillis);
      }
      next = state.silences.take(nowMillis);
    }
  }

  private void forgetIfDue(WorkerSession worker, long nowMillis) {
    long heardMillis = Math.max(worker.answeredMillis, worker.heardMillis);
    long silentFromMillis = heardMillis + state.longestLeaseMillis() + LAPSE_SLACK_MILLIS;
    if (nowMillis >= silentFromMillis && worker.runs.isEmpty()) {
      orders.lifetimeOver(worker);
    }
    state.silences.add(worker, Math.max(silentFromMillis, nowMillis + FORGET_RETRY_MILLIS));
  }

  private void lapseIfDue(WorkerSession worker, ClockReading present) {
    if (worker.runs.isEmpty()) {
      return;
    }
    boolean isOver =
        worker.hasLapsed(
            present.monotonicMillis(), state.settings.maxClockDriftPercent(), LAPSE_SLACK_MILLIS);
    if (!isOver) {
      return;
    }
    state.examined(worker.runs.size());
    List<RunEnd> ends = new ArrayList<>();
    for (RunControl run : worker.runs.values()) {
      if (run.isOrdered() && !run.endProposed) {
        run.endProposed = true;
        ends.add(new RunEnd(run.id, RunOutcome.LAPSED, run.checkpoint));
      }
    }
    if (!ends.isEmpty()) {
      state.propose(new ScopeCommand.RecordEnds(worker.info.key(), 0, ends, present.wallMillis()));
    }
  }
}
