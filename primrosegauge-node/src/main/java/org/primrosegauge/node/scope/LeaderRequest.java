package org.primrosegauge.node.scope;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.scope.ScopeMessage.Answer;
import org.primrosegauge.node.scope.ScopeMessage.Question;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * A question on its way to the leader, until it has an answer or the one who asks waits no longer.
 *
 * <p>It is open at an instance from its sending to the answer, and is not sent there again
 * meanwhile. A leader that answers others is slow, so its answer is awaited as long as the one who
 * asks waits. One that answers nobody may be frozen or gone: whether it has carried the question
 * out is what the next leader can tell, so that one is awaited while most of the voters are there.
 * If they are not, the question is given up earlier. The first conclusive answer counts, whichever
 * try it belongs to.
 *
 * <p>Thread-safe. Life-cycle: {@link #response} is subscribed to once.
 */
final class LeaderRequest {

  /**
   * Part of the time that a caller waits after which an open call gets its last answer if no leader
   * is to be expected.
   */
  private static final double NO_QUORUM_TIMEOUT_SHARE = 0.5;

  /** Time after which a question that could not be sent to any leader is refused. */
  private static final long NOT_SENT_TIMEOUT_MILLIS = 400;

  /** The same while a leader is about to be elected, which takes about as long. */
  private static final long ELECTION_TIMEOUT_MILLIS = 1_000;

  /** Time after which a read is refused that was sent to a leader that answers nobody. */
  private static final long READ_TIMEOUT_MILLIS = 1_200;

  /** Time without an answer after which another leader is looked for. */
  private static final long SEARCH_DELAY_MILLIS = 600;

  /** Silence after which an instance counts as frozen or cut off. */
  private static final long RESPONSIVE_MILLIS = 1_000;

  /** Pause between looks whether the question is to be given up; its limit changes meanwhile. */
  private static final long RECHECK_MILLIS = 100;

  /** Time over which those who wait for a leader ask it once it is found, in milliseconds. */
  private static final long LEADER_FOUND_JITTER_MILLIS = 30;

  private static final long INITIAL_BACKOFF_MILLIS = 60;
  private static final long MAX_BACKOFF_MILLIS = 120;

  /** How far a question has got. */
  private enum Progress {
    /** No leader has it. */
    NOT_SENT,
    /** A leader may have it, but it changes nothing. */
    READ_UNANSWERED,
    /** It may have been carried out, so that a refusal would not be true. */
    OUTCOME_UNKNOWN
  }

  /** Way to the instances, as the client knows it. */
  interface LeaderTracker {

    /** Returns the leader; null when none is known. */
    InstanceId leader();

    /** Asks an instance. */
    Mono<Answer> ask(InstanceId instance, Question question, Duration wait);

    /** Looks for the leader, for a short time; never fails. */
    Mono<Void> findLeader();

    /** Tells whether most of those who elect a leader are there. */
    boolean isQuorumReachable();

    /** Notes the leader that an instance named, null when it knows none. */
    void leaderHinted(InstanceId leader);

    /** Notes that an instance did not answer. */
    void instanceFailed(InstanceId instance);

    /** Tells whether an instance has answered anything after a moment. */
    boolean hasRespondedSince(InstanceId instance, long sinceMillis);
  }

  private final LeaderTracker tracker;
  private final MonotonicClock clock;
  private final Question request;
  private final long startMillis;
  private final long deadlineMillis;
  private final Sinks.One<Answer> result = Sinks.one();
  private final Set<InstanceId> inFlightAt = new HashSet<>();
  private Progress progress = Progress.NOT_SENT;
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;
  private boolean isRetryScheduled;
  private boolean isDone;

  LeaderRequest(LeaderTracker route, MonotonicClock clock, Question question, Duration wait) {
    this.tracker = route;
    this.clock = clock;
    this.request = question;
    this.startMillis = clock.nowMillis();
    this.deadlineMillis = startMillis + wait.toMillis();
  }

  /** Asks; the result never fails. */
  Mono<Answer> response() {
    send();
    failIfOverdue();
    return result.asMono();
  }

  private synchronized boolean isDone() {
    return isDone;
  }

  // Tries

  private void send() {
    InstanceId asked = tracker.leader();
    if (asked == null) {
      scheduleRetry();
      return;
    }
    if (!markInFlight(asked)) {
      return;
    }
    long left = Math.max(1, deadlineMillis - clock.nowMillis());
    Mono.defer(() -> tracker.ask(asked, request, Duration.ofMillis(left)))
        .subscribe(answer -> responded(asked, answer), error -> failed(asked, error));
    runAfter(SEARCH_DELAY_MILLIS, () -> searchIfUnresponsive(asked));
  }

  /** Notes that the question goes to an instance; false when it is open there, or over. */
  private synchronized boolean markInFlight(InstanceId asked) {
    return !isDone && inFlightAt.add(asked);
  }

  private synchronized void clearInFlight(InstanceId asked, boolean mayHaveRun) {
    inFlightAt.remove(asked);
    if (mayHaveRun) {
      progress = request.isReadOnly() ? Progress.READ_UNANSWERED : Progress.OUTCOME_UNKNOWN;
    }
  }

  private void responded(InstanceId asked, Answer answer) {
    clearInFlight(asked, answer instanceof ScopeMessage.Unknown);
    if (answer instanceof ScopeMessage.NotLeader other) {
      tracker.leaderHinted(other.leader());
      scheduleRetry();
    } else if (answer instanceof ScopeMessage.Unknown) {
      scheduleRetry();
    } else {
      complete(withoutAmbiguousRefusal(answer));
    }
  }

  private void failed(InstanceId asked, Throwable error) {
    clearInFlight(asked, !ScopeReplica.isUnavailable(error));
    tracker.instanceFailed(asked);
    scheduleRetry();
  }

  /** An instance that answers nobody may have been replaced as the leader. */
  private void searchIfUnresponsive(InstanceId asked) {
    if (!isInFlightAt(asked)) {
      return;
    }
    runAfter(SEARCH_DELAY_MILLIS, () -> searchIfUnresponsive(asked));
    boolean isSilent = !tracker.hasRespondedSince(asked, clock.nowMillis() - SEARCH_DELAY_MILLIS);
    if (isSilent && asked.equals(tracker.leader())) {
      tracker.instanceFailed(asked);
      scheduleRetry();
    }
  }

  private synchronized boolean isInFlightAt(InstanceId asked) {
    return inFlightAt.contains(asked);
  }

  /** The leader may have changed while the question is open at the former one. */
  private void retryAtNewLeader() {
    InstanceId known = tracker.leader();
    if (known != null && !isInFlightAt(known)) {
      scheduleRetry();
    }
  }

  /** Tries again after a pause, which grows and differs among those who wait for one leader. */
  private void scheduleRetry() {
    long pause;
    synchronized (this) {
      if (isDone || isRetryScheduled) {
        return;
      }
      isRetryScheduled = true;
      pause = backoffMillis / 2 + ThreadLocalRandom.current().nextLong(backoffMillis / 2 + 1);
      backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
    }
    boolean isLost = tracker.leader() == null;
    Mono<Void> found = isLost ? tracker.findLeader() : Mono.empty();
    found
        .then(
            Mono.defer(
                () -> Mono.delay(Duration.ofMillis(isLost ? delayAfterSearch(pause) : pause))))
        .subscribe(
            passed -> {
              retryStarted();
              send();
            });
  }

  /** Those who wait for one leader ask it soon after it is found, but not all at once. */
  private long delayAfterSearch(long pause) {
    return tracker.leader() == null
        ? pause
        : ThreadLocalRandom.current().nextLong(LEADER_FOUND_JITTER_MILLIS + 1);
  }

  private synchronized void retryStarted() {
    isRetryScheduled = false;
  }

  // Answers

  /** An earlier try that is still under way may yet be accepted where a later one is refused. */
  private synchronized Answer withoutAmbiguousRefusal(Answer answer) {
    boolean mayHaveRun =
        progress == Progress.OUTCOME_UNKNOWN || (!inFlightAt.isEmpty() && !request.isReadOnly());
    boolean isOpen =
        mayHaveRun
            && answer instanceof ScopeMessage.Refused refused
            && refused.reason().isTransient();
    return isOpen ? new ScopeMessage.Unknown() : answer;
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
    long limit = effectiveDeadlineMillis();
    if (now < limit) {
      retryAtNewLeader();
      runAfter(Math.min(limit - now, RECHECK_MILLIS), this::failIfOverdue);
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
    boolean isExpected = tracker.isQuorumReachable();
    long own =
        switch (currentProgress()) {
          case NOT_SENT ->
              startMillis + (isExpected ? ELECTION_TIMEOUT_MILLIS : NOT_SENT_TIMEOUT_MILLIS);
          case READ_UNANSWERED -> startMillis + READ_TIMEOUT_MILLIS;
          case OUTCOME_UNKNOWN ->
              isExpected ? deadlineMillis : startMillis + noQuorumTimeoutMillis();
        };
    return Math.min(own, deadlineMillis);
  }

  private long noQuorumTimeoutMillis() {
    return (long) (NO_QUORUM_TIMEOUT_SHARE * (deadlineMillis - startMillis));
  }

  private synchronized boolean isInFlightAtResponsiveInstance() {
    long since = clock.nowMillis() - RESPONSIVE_MILLIS;
    return inFlightAt.stream().anyMatch(asked -> tracker.hasRespondedSince(asked, since));
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
