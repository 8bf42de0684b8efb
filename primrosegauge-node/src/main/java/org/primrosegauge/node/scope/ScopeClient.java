package org.primrosegauge.node.scope;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.scope.ScopeMessage.Answer;
import org.primrosegauge.node.scope.ScopeMessage.Question;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The way to the leader from any instance of a scope.
 *
 * <p>It knows the seeds and learns the members of the log from whoever answers. A question that was
 * not sent, or met an instance that does not lead, is tried elsewhere for a short time; one that
 * may have been carried out is never sent again from here.
 *
 * <p>Thread-safe. {@link #tick} is to be called a few times a second.
 *
 * @since 0.2
 */
public final class ScopeClient {

  private static final Logger LOG = LoggerFactory.getLogger(ScopeClient.class);
  private static final Duration FIND_TIMEOUT = Duration.ofMillis(600);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(60);
  private static final Duration FIND_WAIT = Duration.ofMillis(200);

  /** Longest wait for one answer; a leader that takes longer is frozen or cut off. */
  static final long TRY_MILLIS = 600;

  /** Part of the time that a caller waits after which an open call gets its last answer. */
  private static final double HELD_SHARE = 0.5;

  /** Time after which a question that could not be sent to any leader is refused. */
  private static final long NOT_RUN_MILLIS = 400;

  /** Time after which a read is refused that was sent and got no answer. */
  private static final long READ_MILLIS = 1_200;

  private static final long CHECK_MILLIS = 500;
  private static final long CONTACT_MILLIS = 1_500;

  /** How far a question has got. */
  private enum Progress {
    /** No leader has it. */
    NOT_SENT,
    /** A leader may have it, but it changes nothing. */
    READ_UNANSWERED,
    /** It may have been carried out, so that a refusal would not be true. */
    MAY_HAVE_RUN;

    Progress or(Progress other) {
      return compareTo(other) >= 0 ? this : other;
    }
  }

  /**
   * A question on its way.
   *
   * @param question question
   * @param sinceMillis when it was asked
   * @param endMillis when the one who asks waits no longer
   */
  private record Call(Question question, long sinceMillis, long endMillis) {

    Progress unanswered() {
      return question.changesNothing() ? Progress.READ_UNANSWERED : Progress.MAY_HAVE_RUN;
    }

    long giveUpMillis(Progress progress) {
      long own =
          switch (progress) {
            case NOT_SENT -> sinceMillis + NOT_RUN_MILLIS;
            case READ_UNANSWERED -> sinceMillis + READ_MILLIS;
            case MAY_HAVE_RUN -> sinceMillis + (long) (HELD_SHARE * (endMillis - sinceMillis));
          };
      return Math.min(own, endMillis);
    }
  }

  private record Contact(InstanceId leader, long atMillis) {}

  private final InstanceId self;
  private final QuestionSender sender;
  private final MonotonicClock clock;
  private final AtomicReference<Set<InstanceId>> seeds = new AtomicReference<>(Set.of());
  private final AtomicReference<Set<InstanceId>> members = new AtomicReference<>(Set.of());
  private volatile ScopeDuty own;
  private volatile Contact contact = new Contact(null, Long.MIN_VALUE / 2);
  private volatile InstanceId leader;
  private volatile long nextCheckMillis = Long.MIN_VALUE;
  private volatile boolean wasInContact;

  /**
   * Creates the client.
   *
   * @since 0.2
   */
  public ScopeClient(
      InstanceId self, QuestionSender sender, MonotonicClock clock, List<InstanceId> seeds) {
    this.self = self;
    this.sender = sender;
    this.clock = clock;
    seeds(seeds);
  }

  // Settings

  /**
   * Connects the ledger of an instance that keeps one.
   *
   * @since 0.2
   */
  public void attach(ScopeDuty duty) {
    own = duty;
  }

  /**
   * Replaces the instances that are asked first.
   *
   * @since 0.2
   */
  public void seeds(List<InstanceId> instances) {
    seeds.set(Set.copyOf(instances));
  }

  // Accessors

  /**
   * Tells whether a leader answered lately.
   *
   * @since 0.2
   */
  public boolean isInContact(long nowMillis) {
    return nowMillis - contact.atMillis() <= CONTACT_MILLIS;
  }

  /**
   * Returns the leader, as known; null when none is known.
   *
   * @since 0.2
   */
  public InstanceId leader() {
    return leader;
  }

  /**
   * Returns the instances that may know the leader.
   *
   * @since 0.2
   */
  public List<InstanceId> known() {
    Set<InstanceId> all = new LinkedHashSet<>(members.get());
    all.addAll(seeds.get());
    all.remove(self);
    return List.copyOf(all);
  }

  // Main API

  /**
   * Asks the leader.
   *
   * @param timeout longest wait
   * @return the answer; {@link ScopeMessage.Refused} with {@link ScopeRefusal#NO_LEADER} when
   *     nothing was carried out; {@link ScopeMessage.Unknown} when it may have been; never fails
   * @since 0.2
   */
  public Mono<Answer> ask(Question question, Duration timeout) {
    return Mono.defer(
        () -> {
          long now = clock.nowMillis();
          return ask(new Call(question, now, now + timeout.toMillis()), Progress.NOT_SENT);
        });
  }

  /** Asks until there is an answer or the time is over. */
  private Mono<Answer> ask(Call call, Progress progress) {
    return Mono.defer(() -> askOnce(call))
        .flatMap(
            answer -> {
              if (answer instanceof ScopeMessage.NotLeader refused) {
                noteLeader(refused.leader());
                return again(call, progress);
              }
              return answer instanceof ScopeMessage.Unknown
                  ? again(call, progress.or(call.unanswered()))
                  : Mono.just(truthful(answer, progress));
            })
        .onErrorResume(
            error -> {
              LOG.debug("asking {} failed: {}", leader, error.getMessage());
              leader = null;
              boolean wasSent = !ScopeDuty.isUnavailable(error);
              return again(call, wasSent ? progress.or(call.unanswered()) : progress);
            });
  }

  /** An earlier try that is still under way may yet be accepted where a later one is refused. */
  private static Answer truthful(Answer answer, Progress progress) {
    boolean isOpen =
        progress == Progress.MAY_HAVE_RUN
            && answer instanceof ScopeMessage.Refused refused
            && refused.reason().isOfTheMoment();
    return isOpen ? new ScopeMessage.Unknown() : answer;
  }

  /**
   * Questions change nothing when they come twice, so one that may have been done is sent again.
   */
  private Mono<Answer> again(Call call, Progress progress) {
    if (clock.nowMillis() + RETRY_PAUSE.toMillis() >= call.giveUpMillis(progress)) {
      return Mono.just(
          progress == Progress.MAY_HAVE_RUN
              ? new ScopeMessage.Unknown()
              : new ScopeMessage.Refused(ScopeRefusal.NO_LEADER));
    }
    Mono<Void> found = leader == null ? find() : Mono.empty();
    return found
        .timeout(FIND_WAIT, Mono.empty())
        .then(Mono.delay(RETRY_PAUSE))
        .then(Mono.defer(() -> ask(call, progress)));
  }

  private Mono<Answer> askOnce(Call call) {
    InstanceId asked = leader;
    if (asked == null) {
      return Mono.error(noLeader());
    }
    ScopeDuty ledger = own;
    if (ledger != null && asked.equals(self)) {
      return ledger.answer(call.question());
    }
    long left = Math.max(1, call.giveUpMillis(call.unanswered()) - clock.nowMillis());
    Duration wait = Duration.ofMillis(Math.min(left, TRY_MILLIS));
    return sender
        .ask(asked, call.question(), wait)
        .doOnNext(
            answer -> {
              if (!(answer instanceof ScopeMessage.NotLeader)) {
                reached(asked);
              }
            });
  }

  /**
   * Looks for the leader when it is due, and keeps the contact to it fresh.
   *
   * @since 0.2
   */
  public void tick(long nowMillis) {
    ScopeDuty ledger = own;
    if (ledger != null) {
      noteLeader(ledger.leader());
    }
    if (nowMillis >= nextCheckMillis) {
      nextCheckMillis = nowMillis + CHECK_MILLIS;
      check();
    }
    noteContact(nowMillis);
  }

  private void noteContact(long nowMillis) {
    boolean inContact = isInContact(nowMillis);
    if (inContact != wasInContact) {
      wasInContact = inContact;
      LOG.info("the leader is {}, last known as {}", inContact ? "reached" : "lost", leader);
    }
  }

  private void check() {
    InstanceId asked = leader;
    if (asked == null) {
      find().subscribe();
      return;
    }
    askLeader(asked)
        .subscribe(
            answer -> {},
            error -> {
              if (asked.equals(leader)) {
                leader = null;
                find().subscribe();
              }
            });
  }

  /** Asks all known instances at once; completes with the first that leads, or empty. */
  private Mono<Void> find() {
    List<Mono<ScopeMessage.Leader>> asked = new ArrayList<>();
    for (InstanceId instance : known()) {
      asked.add(askLeader(instance).onErrorResume(error -> Mono.empty()));
    }
    if (own != null) {
      asked.add(askLeader(self).onErrorResume(error -> Mono.empty()));
    }
    return Flux.merge(asked)
        .filter(answer -> answer.isAuthoritative() || answer.leader() != null)
        .next()
        .then();
  }

  private Mono<ScopeMessage.Leader> askLeader(InstanceId instance) {
    ScopeDuty ledger = own;
    Mono<Answer> answer =
        ledger != null && instance.equals(self)
            ? ledger.answer(new ScopeMessage.AskLeader())
            : sender.ask(instance, new ScopeMessage.AskLeader(), FIND_TIMEOUT);
    return answer.ofType(ScopeMessage.Leader.class).doOnNext(found -> learned(instance, found));
  }

  private void learned(InstanceId from, ScopeMessage.Leader found) {
    if (!found.members().isEmpty()) {
      members.set(Set.copyOf(found.members()));
    }
    if (found.isAuthoritative()) {
      reached(from);
    } else if (from.equals(leader)) {
      noteLeader(from.equals(found.leader()) ? null : found.leader());
    } else if (leader == null) {
      noteLeader(found.leader());
    }
  }

  private void reached(InstanceId from) {
    leader = from;
    contact = new Contact(from, clock.nowMillis());
  }

  private void noteLeader(InstanceId found) {
    if (found != null || own == null) {
      leader = found;
    }
  }

  private static PrimrosegaugeException noLeader() {
    return new PrimrosegaugeException(
        ErrorKind.UNAVAILABLE, "no leader is known", "come back in a second", "");
  }
}
