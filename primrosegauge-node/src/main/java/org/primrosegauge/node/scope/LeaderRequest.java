package org.primrosegauge.node.scope;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.scope.ScopeMessage.Answer;
import org.primrosegauge.node.scope.ScopeMessage.Question;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * One request to the leader, including its retries, until it has a response or the caller's timeout
 * expires.
 *
 * <p>The request is in flight at an instance from when it is sent until the response arrives, and
 * is not resent to that instance meanwhile. A leader that responds to other requests is merely
 * slow, so its response is awaited until the caller's timeout. A leader that responds to nobody may
 * be suspended or down. Whether it has executed the request is known to the next leader, so the
 * next leader is awaited while a majority of the voters is reachable; without a majority the
 * request fails earlier. The first conclusive response counts, whichever attempt it belongs to.
 *
 * <p>Thread-safe. Lifecycle: {@link #response} is called and subscribed to once.
 */
final class LeaderRequest {

  private static final Logger LOG = LoggerFactory.getLogger(LeaderRequest.class);

  /**
   * Fraction of the caller's timeout after which a write that may have been executed is reported as
   * {@link ScopeMessage.Unknown} if a majority of the voters is unreachable.
   */
  private static final double NO_QUORUM_TIMEOUT_SHARE = 0.5;

  /** Time after which that is reported if only a minority of the voters is reachable. */
  private static final long PARTITIONED_TIMEOUT_MILLIS = 700;

  /** Time after which a request that could not be sent to any leader is refused. */
  private static final long NOT_SENT_TIMEOUT_MILLIS = 400;

  /** The same if there has been no contact to a leader for a while. */
  private static final long CONTACT_LOST_TIMEOUT_MILLIS = 100;

  /**
   * The same while a majority of the voters is reachable, while this instance starts, or when all
   * voters have just fallen silent; an election takes about this long.
   */
  private static final long ELECTION_TIMEOUT_MILLIS = 1_000;

  /** Time after which a read that was sent to an unresponsive leader is refused. */
  private static final long READ_TIMEOUT_MILLIS = 1_200;

  /** Time without a response after which another leader is searched for. */
  private static final long SEARCH_DELAY_MILLIS = 600;

  /** Time without any response after which an instance counts as suspended or unreachable. */
  private static final long RESPONSIVE_MILLIS = 1_000;

  /**
   * Interval at which a request in flight is checked: its effective deadline changes over time, and
   * the leader that received it may have become unresponsive.
   */
  private static final long RECHECK_MILLIS = 100;

  /** Time over which waiting requests are spread once a leader is found, in milliseconds. */
  private static final long LEADER_FOUND_JITTER_MILLIS = 30;

  private static final long INITIAL_BACKOFF_MILLIS = 60;
  private static final long MAX_BACKOFF_MILLIS = 120;

  /** What is known about the attempts so far. */
  private enum Progress {
    /** The request has not reached any leader. */
    NOT_SENT,
    /** A leader may have received the request, but it is a read. */
    READ_UNANSWERED,
    /** A leader may have executed the request, so reporting a refusal would be wrong. */
    OUTCOME_UNKNOWN
  }

  /** What an instance knows of a leader. */
  enum LeaderContact {
    /** It has just started and has not reached a leader yet. */
    STARTING,
    /** It has reached a leader a moment ago. */
    RECENT,
    /**
     * It has not reached a leader for a moment, and no instance that replicates the log responds:
     * all of them may be restarting, so that another instance could not serve the request sooner.
     */
    OUTAGE,
    /** It has not reached a leader for a while, for example because it is partitioned. */
    LOST
  }

  /** Access to the instances, and what the client knows about the leader. */
  interface LeaderTracker {

    /** Returns the leader, or null if none is known. */
    InstanceId leader();

    /** Sends a request to an instance. */
    Mono<Answer> ask(InstanceId instance, Question request, Duration wait);

    /** Searches for the leader for a short time; never signals an error. */
    Mono<Void> findLeader();

    /** Returns whether a majority of the voters is reachable. */
    boolean isQuorumReachable();

    /** Returns whether fewer than half of the voters are reachable. */
    boolean isMinorityReachable();

    /** Returns what this instance knows of a leader when it does not reach one now. */
    LeaderContact contact();

    /** Called with the leader that an instance named, or null if it knows none. */
    void leaderHinted(InstanceId leader);

    /** Called when an instance did not respond. */
    void instanceFailed(InstanceId instance);

    /** Returns whether an instance has responded to any request after the given time. */
    boolean hasRespondedSince(InstanceId instance, long sinceMillis);
  }

  private final LeaderTracker tracker;
  private final MonotonicClock clock;
  private final RetryJitter jitter;
  private final Question request;
  private final long startMillis;
  private final long deadlineMillis;
  private final Sinks.One<Answer> result = Sinks.one();
  private final Set<InstanceId> inFlightAt = new HashSet<>();
  private Progress progress = Progress.NOT_SENT;
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;
  private boolean isRetryScheduled;
  private boolean isDone;

  LeaderRequest(
      LeaderTracker tracker,
      MonotonicClock clock,
      RetryJitter jitter,
      Question request,
      Duration wait) {
    this.tracker = tracker;
    this.clock = clock;
    this.jitter = jitter;
    this.request = request;
    this.startMillis = clock.nowMillis();
    this.deadlineMillis = startMillis + wait.toMillis();
  }

  /** Sends the request. The result never signals an error. */
  Mono<Answer> response() {
    send();
    failIfOverdue();
    return result.asMono();
  }

  private synchronized boolean isDone() {
    return isDone;
  }

  private void send() {
    InstanceId instance = tracker.leader();
    if (instance == null) {
      scheduleRetry();
      return;
    }
    if (!markInFlight(instance)) {
      return;
    }
    long remaining = Math.max(1, deadlineMillis - clock.nowMillis());
    Mono.defer(() -> tracker.ask(instance, request, Duration.ofMillis(remaining)))
        .subscribe(answer -> responded(instance, answer), error -> failed(instance, error));
    runAfter(SEARCH_DELAY_MILLIS, () -> searchIfUnresponsive(instance));
  }

  /** Marks the request as in flight at an instance; false if it already is, or is completed. */
  private synchronized boolean markInFlight(InstanceId instance) {
    return !isDone && inFlightAt.add(instance);
  }

  private synchronized void clearInFlight(InstanceId instance, boolean mayHaveExecuted) {
    inFlightAt.remove(instance);
    if (mayHaveExecuted) {
      progress = request.isReadOnly() ? Progress.READ_UNANSWERED : Progress.OUTCOME_UNKNOWN;
    }
  }

  private void responded(InstanceId instance, Answer answer) {
    clearInFlight(instance, answer instanceof ScopeMessage.Unknown);
    if (answer instanceof ScopeMessage.NotLeader other) {
      tracker.leaderHinted(other.leader());
      scheduleRetry();
    } else if (answer instanceof ScopeMessage.Unknown) {
      scheduleRetry();
    } else {
      complete(withoutAmbiguousRefusal(answer));
    }
  }

  private void failed(InstanceId instance, Throwable error) {
    if (ScopeReplica.isTooLarge(error)) {
      clearInFlight(instance, false);
      complete(withoutAmbiguousRefusal(new ScopeMessage.Refused(ScopeRefusal.TOO_LARGE)));
      return;
    }
    clearInFlight(instance, !ScopeReplica.isUnavailable(error));
    tracker.instanceFailed(instance);
    scheduleRetry();
  }

  /**
   * Searches for another leader while the instance is unresponsive: it may have been replaced. The
   * others name the lost leader until they know the next one, so they are asked again and again.
   */
  private void searchIfUnresponsive(InstanceId instance) {
    if (!isInFlightAt(instance)) {
      return;
    }
    runAfter(RECHECK_MILLIS, () -> searchIfUnresponsive(instance));
    boolean isUnresponsive =
        !tracker.hasRespondedSince(instance, clock.nowMillis() - SEARCH_DELAY_MILLIS);
    InstanceId known = tracker.leader();
    boolean isReplaced = known != null && !known.equals(instance);
    if (isUnresponsive && !isReplaced) {
      tracker.instanceFailed(instance);
      scheduleRetry();
    }
  }

  private synchronized boolean isInFlightAt(InstanceId instance) {
    return inFlightAt.contains(instance);
  }

  /** Retries if the leader has changed while the request is in flight at the former one. */
  private void retryAtNewLeader() {
    InstanceId known = tracker.leader();
    if (known != null && !isInFlightAt(known)) {
      scheduleRetry();
    }
  }

  /**
   * Retries after an exponential backoff with jitter, so that waiting requests do not synchronize.
   */
  private void scheduleRetry() {
    long delay;
    synchronized (this) {
      if (isDone || isRetryScheduled) {
        return;
      }
      isRetryScheduled = true;
      delay = backoffMillis / 2 + jitter.drawMillis(backoffMillis / 2);
      backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
    }
    boolean isLeaderUnknown = tracker.leader() == null;
    Mono<Void> search = isLeaderUnknown ? tracker.findLeader() : Mono.empty();
    search
        .then(
            Mono.defer(
                () ->
                    Mono.delay(
                        Duration.ofMillis(isLeaderUnknown ? delayAfterSearch(delay) : delay))))
        .subscribe(
            passed -> {
              retryStarted();
              send();
            });
  }

  /** Returns a short random delay if the search found a leader, to spread the waiting requests. */
  private long delayAfterSearch(long delay) {
    return tracker.leader() == null ? delay : jitter.drawMillis(LEADER_FOUND_JITTER_MILLIS);
  }

  private synchronized void retryStarted() {
    isRetryScheduled = false;
  }

  /**
   * Replaces a refusal by {@link ScopeMessage.Unknown} if an earlier attempt may have been executed
   * or may still be, and the refusal says nothing about that.
   */
  private Answer withoutAmbiguousRefusal(Answer answer) {
    boolean isAmbiguous =
        answer instanceof ScopeMessage.Refused refused
            && !refused.reason().coversEarlierAttempts()
            && currentProgress() == Progress.OUTCOME_UNKNOWN;
    if (!isAmbiguous) {
      return answer;
    }
    LOG.info("event=REFUSAL_WITHHELD refusal={}, as an earlier attempt may count", answer);
    return new ScopeMessage.Unknown();
  }

  private void complete(Answer answer) {
    synchronized (this) {
      if (isDone) {
        return;
      }
      isDone = true;
    }
    result.tryEmitValue(answer);
  }

  private void failIfOverdue() {
    if (isDone()) {
      return;
    }
    long now = clock.nowMillis();
    long deadline = effectiveDeadlineMillis();
    if (now < deadline) {
      retryAtNewLeader();
      runAfter(Math.min(deadline - now, RECHECK_MILLIS), this::failIfOverdue);
      return;
    }
    complete(
        currentProgress() == Progress.OUTCOME_UNKNOWN
            ? new ScopeMessage.Unknown()
            : new ScopeMessage.Refused(ScopeRefusal.NO_LEADER));
  }

  private long effectiveDeadlineMillis() {
    if (isInFlightAtResponsiveInstance()) {
      return deadlineMillis;
    }
    boolean isQuorumReachable = tracker.isQuorumReachable();
    long progressDeadline =
        switch (currentProgress()) {
          case NOT_SENT ->
              startMillis + (isQuorumReachable ? ELECTION_TIMEOUT_MILLIS : notSentTimeoutMillis());
          case READ_UNANSWERED -> startMillis + READ_TIMEOUT_MILLIS;
          case OUTCOME_UNKNOWN ->
              isQuorumReachable ? deadlineMillis : startMillis + noQuorumTimeoutMillis();
        };
    return Math.min(progressDeadline, deadlineMillis);
  }

  private long noQuorumTimeoutMillis() {
    long timeout = (long) (NO_QUORUM_TIMEOUT_SHARE * (deadlineMillis - startMillis));
    return tracker.isMinorityReachable() ? Math.min(timeout, PARTITIONED_TIMEOUT_MILLIS) : timeout;
  }

  private long notSentTimeoutMillis() {
    return switch (tracker.contact()) {
      case STARTING, OUTAGE -> ELECTION_TIMEOUT_MILLIS;
      case RECENT -> NOT_SENT_TIMEOUT_MILLIS;
      case LOST -> CONTACT_LOST_TIMEOUT_MILLIS;
    };
  }

  private synchronized boolean isInFlightAtResponsiveInstance() {
    long since = clock.nowMillis() - RESPONSIVE_MILLIS;
    return inFlightAt.stream().anyMatch(instance -> tracker.hasRespondedSince(instance, since));
  }

  private synchronized Progress currentProgress() {
    if (inFlightAt.isEmpty()) {
      return progress;
    }
    return request.isReadOnly() ? Progress.READ_UNANSWERED : Progress.OUTCOME_UNKNOWN;
  }

  private void runAfter(long millis, Runnable task) {
    Mono.delay(Duration.ofMillis(millis))
        .subscribe(
            passed -> {
              if (!isDone()) {
                task.run();
              }
            });
  }
}
