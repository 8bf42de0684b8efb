package org.primrosegauge.node.scope;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.scope.ScopeMessage.Answer;
import org.primrosegauge.node.scope.ScopeMessage.Question;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * The way to the leader from any instance of a scope.
 *
 * <p>It knows the seeds and learns the members of the log from whoever answers. Questions change
 * nothing when they come twice, so one that met no leader, or a silent one, is tried elsewhere.
 *
 * <p>Thread-safe. {@link #tick} is to be called a few times a second.
 *
 * @since 0.2
 */
public final class ScopeClient {

  private static final Logger LOG = LoggerFactory.getLogger(ScopeClient.class);

  /** Longest wait for the answer of a leader that is behind. */
  private static final Duration CONTACT_TIMEOUT = Duration.ofMillis(3_000);

  private static final Duration FIND_WAIT = Duration.ofMillis(200);
  private static final long CHECK_MILLIS = 500;
  private static final long CONTACT_MILLIS = 1_500;

  /** Pause after which the leader is asked for the members though it answers other questions. */
  private static final long MEMBERS_MILLIS = 3_000;

  /**
   * Latest answer of a leader.
   *
   * @param leader who answered
   * @param atMillis when
   * @param tookMillis time from the question to the answer
   */
  private record Contact(InstanceId leader, long atMillis, long tookMillis) {}

  private final InstanceId self;
  private final QuestionSender sender;
  private final MonotonicClock clock;
  private final AtomicReference<Set<InstanceId>> seeds = new AtomicReference<>(Set.of());
  private final AtomicReference<Set<InstanceId>> members = new AtomicReference<>(Set.of());
  private volatile ScopeDuty own;
  private volatile Contact contact = new Contact(null, Long.MIN_VALUE / 2, 0);
  private volatile InstanceId leader;
  private volatile long nextCheckMillis = Long.MIN_VALUE;
  private volatile long nextMembersMillis = Long.MIN_VALUE;
  private volatile boolean wasInContact;
  private final OpenQuestion.Route route = new LeaderRoute();
  private final LeaderSearch search;

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
    this.search = new LeaderSearch(this::askLeader, this::learned, clock);
    seeds(seeds);
  }

  // Settings

  /**
   * Connects the ledger of an instance that keeps one; null while it cannot be kept.
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
    return Mono.defer(() -> new OpenQuestion(route, clock, question, timeout).answer());
  }

  /**
   * Passes on an order to take a failure domain out, or back in. One that is held up on its way is
   * refused with {@link ScopeRefusal#OVERTAKEN} if it would undo a newer one.
   *
   * @param timeout longest wait
   * @return the answer, as of {@link #ask(Question, Duration)}
   * @since 0.3
   */
  public Mono<Answer> switchDomain(FailureDomainId domain, boolean isOut, Duration timeout) {
    return Mono.defer(
        () -> {
          long end = clock.nowMillis() + timeout.toMillis();
          return ask(new ScopeMessage.AskOrderPlace(domain), timeout)
              .flatMap(
                  found ->
                      found instanceof ScopeMessage.OrderPlace place
                          ? ask(new ScopeMessage.SwitchDomain(domain, isOut, place), leftUntil(end))
                          : Mono.just(found));
        });
  }

  private Duration leftUntil(long endMillis) {
    return Duration.ofMillis(Math.max(1, endMillis - clock.nowMillis()));
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
      checkIfSilent(nowMillis);
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

  /** Who answers other questions soon need not be asked whether it leads, but for the members. */
  private void checkIfSilent(long nowMillis) {
    Contact last = contact;
    boolean isReached =
        last.leader() != null
            && last.leader().equals(leader)
            && nowMillis - last.atMillis() < CHECK_MILLIS
            && last.tookMillis() < CHECK_MILLIS;
    if (!isReached || nowMillis >= nextMembersMillis) {
      nextMembersMillis = nowMillis + MEMBERS_MILLIS;
      check();
    }
  }

  private void check() {
    InstanceId asked = leader;
    if (asked == null) {
      find().subscribe();
      return;
    }
    // A late answer still shows that the leader is slow, not gone.
    long since = clock.nowMillis();
    search
        .ask(asked, CONTACT_TIMEOUT)
        .subscribe(answer -> {}, error -> lookElsewhere(asked, since));
    Mono.delay(LeaderSearch.ANSWER_TIMEOUT).subscribe(passed -> lookElsewhere(asked, since));
  }

  private void lookElsewhere(InstanceId asked, long sinceMillis) {
    if (asked.equals(leader) && !route.hasAnsweredSince(asked, sinceMillis)) {
      leader = null;
      find().subscribe();
    }
  }

  /** Looks for the leader at all known instances; never fails. */
  private Mono<Void> find() {
    List<InstanceId> asked = new ArrayList<>(known());
    if (own != null) {
      asked.add(self);
    }
    return search.find(asked);
  }

  private Mono<ScopeMessage.Leader> askLeader(InstanceId instance, Duration timeout) {
    ScopeDuty ledger = own;
    Mono<Answer> answer =
        ledger != null && instance.equals(self)
            ? ledger.answer(new ScopeMessage.AskLeader())
            : sender.ask(instance, new ScopeMessage.AskLeader(), timeout);
    return answer.ofType(ScopeMessage.Leader.class);
  }

  private void learned(InstanceId from, ScopeMessage.Leader found, long askedMillis) {
    if (!found.members().isEmpty()) {
      members.set(Set.copyOf(found.members()));
    }
    if (found.isAuthoritative()) {
      reached(from, askedMillis);
    } else if (from.equals(leader)) {
      noteLeader(from.equals(found.leader()) ? null : found.leader());
    } else if (leader == null) {
      noteLeader(found.leader());
    }
  }

  private void reached(InstanceId from, long askedMillis) {
    long now = clock.nowMillis();
    leader = from;
    contact = new Contact(from, now, now - askedMillis);
  }

  private void noteLeader(InstanceId found) {
    if (found != null || own == null) {
      leader = found;
    }
  }

  /** The way of the open questions. */
  private final class LeaderRoute implements OpenQuestion.Route {

    @Override
    public InstanceId leader() {
      return leader;
    }

    @Override
    public Mono<Answer> ask(InstanceId instance, Question question, Duration wait) {
      ScopeDuty ledger = own;
      if (ledger != null && instance.equals(self)) {
        return ledger.answer(question);
      }
      long asked = clock.nowMillis();
      return sender
          .ask(instance, question, wait)
          .doOnNext(
              answer -> {
                if (!(answer instanceof ScopeMessage.NotLeader)) {
                  reached(instance, asked);
                }
              });
    }

    @Override
    public Mono<Void> find() {
      return ScopeClient.this.find().timeout(FIND_WAIT, Mono.empty());
    }

    @Override
    public boolean isLeaderExpected() {
      return search.isLeaderExpected();
    }

    @Override
    public void named(InstanceId named) {
      noteLeader(named);
    }

    @Override
    public void failed(InstanceId instance) {
      if (instance.equals(leader)) {
        LOG.debug("{} does not answer", instance);
        leader = null;
      }
    }

    @Override
    public boolean hasAnsweredSince(InstanceId instance, long sinceMillis) {
      Contact last = contact;
      boolean isContact = instance.equals(last.leader()) && last.atMillis() > sinceMillis;
      return isContact || instance.equals(self);
    }
  }
}
