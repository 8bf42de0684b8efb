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
 * <p>Thread-safe. Life-cycle: {@link #answer} is subscribed to once.
 */
final class OpenQuestion {

  /**
   * Part of the time that a caller waits after which an open call gets its last answer if no leader
   * is to be expected.
   */
  private static final double HELD_SHARE = 0.5;

  /** Time after which a question that could not be sent to any leader is refused. */
  private static final long NOT_RUN_MILLIS = 400;

  /** The same while a leader is about to be elected, which takes about as long. */
  private static final long ELECTION_MILLIS = 1_000;

  /** Time after which a read is refused that was sent to a leader that answers nobody. */
  private static final long READ_MILLIS = 1_200;

  /** Time without an answer after which another leader is looked for. */
  private static final long LOOK_MILLIS = 600;

  /** Silence after which an instance counts as frozen or cut off. */
  private static final long ANSWERING_MILLIS = 1_000;

  /** Pause between looks whether the question is to be given up; its limit changes meanwhile. */
  private static final long RECHECK_MILLIS = 100;

  /** Time over which those who wait for a leader ask it once it is found, in milliseconds. */
  private static final long FOUND_MILLIS = 30;

  private static final long FIRST_PAUSE_MILLIS = 60;
  private static final long LONGEST_PAUSE_MILLIS = 120;

  /** How far a question has got. */
  private enum Progress {
    /** No leader has it. */
    NOT_SENT,
    /** A leader may have it, but it changes nothing. */
    READ_UNANSWERED,
    /** It may have been carried out, so that a refusal would not be true. */
    MAY_HAVE_RUN
  }

  /** Way to the instances, as the client knows it. */
  interface Route {

    /** Returns the leader; null when none is known. */
    InstanceId leader();

    /** Asks an instance. */
    Mono<Answer> ask(InstanceId instance, Question question, Duration wait);

    /** Looks for the leader, for a short time; never fails. */
    Mono<Void> find();

    /** Tells whether most of those who elect a leader are there. */
    boolean isLeaderExpected();

    /** Notes the leader that an instance named, null when it knows none. */
    void named(InstanceId leader);

    /** Notes that an instance did not answer. */
    void failed(InstanceId instance);

    /** Tells whether an instance has answered anything after a moment. */
    boolean hasAnsweredSince(InstanceId instance, long sinceMillis);
  }

  private final Route route;
  private final MonotonicClock clock;
  private final Question question;
  private final long sinceMillis;
  private final long endMillis;
  private final Sinks.One<Answer> result = Sinks.one();
  private final Set<InstanceId> openAt = new HashSet<>();
  private Progress progress = Progress.NOT_SENT;
  private long pauseMillis = FIRST_PAUSE_MILLIS;
  private boolean isTryDue;
  private boolean isOver;

  OpenQuestion(Route route, MonotonicClock clock, Question question, Duration wait) {
    this.route = route;
    this.clock = clock;
    this.question = question;
    this.sinceMillis = clock.nowMillis();
    this.endMillis = sinceMillis + wait.toMillis();
  }

  /** Asks; the result never fails. */
  Mono<Answer> answer() {
    send();
    giveUpIfDue();
    return result.asMono();
  }

  private synchronized boolean isOver() {
    return isOver;
  }

  // Tries

  private void send() {
    InstanceId asked = route.leader();
    if (asked == null) {
      tryAgain();
      return;
    }
    if (!open(asked)) {
      return;
    }
    long left = Math.max(1, endMillis - clock.nowMillis());
    Mono.defer(() -> route.ask(asked, question, Duration.ofMillis(left)))
        .subscribe(answer -> answered(asked, answer), error -> failed(asked, error));
    after(LOOK_MILLIS, () -> lookForOther(asked));
  }

  /** Notes that the question goes to an instance; false when it is open there, or over. */
  private synchronized boolean open(InstanceId asked) {
    return !isOver && openAt.add(asked);
  }

  private synchronized void close(InstanceId asked, boolean mayHaveRun) {
    openAt.remove(asked);
    if (mayHaveRun) {
      progress = question.changesNothing() ? Progress.READ_UNANSWERED : Progress.MAY_HAVE_RUN;
    }
  }

  private void answered(InstanceId asked, Answer answer) {
    close(asked, answer instanceof ScopeMessage.Unknown);
    if (answer instanceof ScopeMessage.NotLeader other) {
      route.named(other.leader());
      tryAgain();
    } else if (answer instanceof ScopeMessage.Unknown) {
      tryAgain();
    } else {
      conclude(truthful(answer));
    }
  }

  private void failed(InstanceId asked, Throwable error) {
    close(asked, !ScopeDuty.isUnavailable(error));
    route.failed(asked);
    tryAgain();
  }

  /** An instance that answers nobody may have been replaced as the leader. */
  private void lookForOther(InstanceId asked) {
    if (!isOpenAt(asked)) {
      return;
    }
    after(LOOK_MILLIS, () -> lookForOther(asked));
    boolean isSilent = !route.hasAnsweredSince(asked, clock.nowMillis() - LOOK_MILLIS);
    if (isSilent && asked.equals(route.leader())) {
      route.failed(asked);
      tryAgain();
    }
  }

  private synchronized boolean isOpenAt(InstanceId asked) {
    return openAt.contains(asked);
  }

  /** The leader may have changed while the question is open at the former one. */
  private void followLeader() {
    InstanceId known = route.leader();
    if (known != null && !isOpenAt(known)) {
      tryAgain();
    }
  }

  /** Tries again after a pause, which grows and differs among those who wait for one leader. */
  private void tryAgain() {
    long pause;
    synchronized (this) {
      if (isOver || isTryDue) {
        return;
      }
      isTryDue = true;
      pause = pauseMillis / 2 + ThreadLocalRandom.current().nextLong(pauseMillis / 2 + 1);
      pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, 2 * pauseMillis);
    }
    boolean isLost = route.leader() == null;
    Mono<Void> found = isLost ? route.find() : Mono.empty();
    found
        .then(Mono.defer(() -> Mono.delay(Duration.ofMillis(isLost ? afterSearch(pause) : pause))))
        .subscribe(
            passed -> {
              tryStarts();
              send();
            });
  }

  /** Those who wait for one leader ask it soon after it is found, but not all at once. */
  private long afterSearch(long pause) {
    return route.leader() == null ? pause : ThreadLocalRandom.current().nextLong(FOUND_MILLIS + 1);
  }

  private synchronized void tryStarts() {
    isTryDue = false;
  }

  // Answers

  /** An earlier try that is still under way may yet be accepted where a later one is refused. */
  private synchronized Answer truthful(Answer answer) {
    boolean mayHaveRun =
        progress == Progress.MAY_HAVE_RUN || (!openAt.isEmpty() && !question.changesNothing());
    boolean isOpen =
        mayHaveRun
            && answer instanceof ScopeMessage.Refused refused
            && refused.reason().isOfTheMoment();
    return isOpen ? new ScopeMessage.Unknown() : answer;
  }

  private void conclude(Answer answer) {
    synchronized (this) {
      if (isOver) {
        return;
      }
      isOver = true;
    }
    result.tryEmitValue(answer);
  }

  private void giveUpIfDue() {
    if (isOver()) {
      return;
    }
    long now = clock.nowMillis();
    long limit = limitMillis();
    if (now < limit) {
      followLeader();
      after(Math.min(limit - now, RECHECK_MILLIS), this::giveUpIfDue);
      return;
    }
    conclude(
        reached() == Progress.MAY_HAVE_RUN
            ? new ScopeMessage.Unknown()
            : new ScopeMessage.Refused(ScopeRefusal.NO_LEADER));
  }

  private long limitMillis() {
    if (isWithAnsweringLeader()) {
      return endMillis;
    }
    boolean isExpected = route.isLeaderExpected();
    long own =
        switch (reached()) {
          case NOT_SENT -> sinceMillis + (isExpected ? ELECTION_MILLIS : NOT_RUN_MILLIS);
          case READ_UNANSWERED -> sinceMillis + READ_MILLIS;
          case MAY_HAVE_RUN -> isExpected ? endMillis : sinceMillis + heldMillis();
        };
    return Math.min(own, endMillis);
  }

  private long heldMillis() {
    return (long) (HELD_SHARE * (endMillis - sinceMillis));
  }

  private synchronized boolean isWithAnsweringLeader() {
    long since = clock.nowMillis() - ANSWERING_MILLIS;
    return openAt.stream().anyMatch(asked -> route.hasAnsweredSince(asked, since));
  }

  private synchronized Progress reached() {
    if (openAt.isEmpty()) {
      return progress;
    }
    return question.changesNothing() ? Progress.READ_UNANSWERED : Progress.MAY_HAVE_RUN;
  }

  private void after(long millis, Runnable task) {
    Mono.delay(Duration.ofMillis(millis))
        .subscribe(
            passed -> {
              if (!isOver()) {
                task.run();
              }
            });
  }
}
