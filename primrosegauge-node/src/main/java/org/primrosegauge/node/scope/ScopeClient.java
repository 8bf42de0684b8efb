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
  private static final Duration CHECK_TIMEOUT = Duration.ofMillis(3_000);

  private static final Duration SEARCH_TIMEOUT = Duration.ofMillis(200);
  private static final long CHECK_INTERVAL_MILLIS = 500;
  private static final long REACHABLE_MILLIS = 1_500;

  /** Pause after which the leader is asked for the members though it answers other questions. */
  private static final long MEMBERS_REFRESH_MILLIS = 3_000;

  /**
   * Latest answer of a leader.
   *
   * @param leader who answered
   * @param atMillis when
   * @param tookMillis time from the question to the answer
   */
  private record LeaderResponse(InstanceId leader, long atMillis, long roundTripMillis) {}

  private final InstanceId self;
  private final RequestSender sender;
  private final MonotonicClock clock;
  private final AtomicReference<Set<InstanceId>> seeds = new AtomicReference<>(Set.of());
  private final AtomicReference<Set<InstanceId>> members = new AtomicReference<>(Set.of());
  private volatile ScopeReplica localReplica;
  private volatile LeaderResponse lastResponse = new LeaderResponse(null, Long.MIN_VALUE / 2, 0);
  private volatile InstanceId leader;
  private volatile long nextCheckMillis = Long.MIN_VALUE;
  private volatile long nextMembersRefreshMillis = Long.MIN_VALUE;
  private volatile boolean wasLeaderReachable;
  private final LeaderRequest.LeaderTracker tracker = new ClientLeaderTracker();
  private final LeaderSearch search;

  /**
   * Creates the client.
   *
   * @since 0.2
   */
  public ScopeClient(
      InstanceId self, RequestSender sender, MonotonicClock clock, List<InstanceId> seeds) {
    this.self = self;
    this.sender = sender;
    this.clock = clock;
    this.search = new LeaderSearch(this::askLeader, this::leaderInfoReceived, clock);
    seeds(seeds);
  }

  // Settings

  /**
   * Connects the ledger of an instance that keeps one; null while it cannot be kept.
   *
   * @since 0.2
   */
  public void attach(ScopeReplica duty) {
    localReplica = duty;
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
  public boolean isLeaderReachable(long nowMillis) {
    return nowMillis - lastResponse.atMillis() <= REACHABLE_MILLIS;
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
  public List<InstanceId> knownInstances() {
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
    return Mono.defer(() -> new LeaderRequest(tracker, clock, question, timeout).response());
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
                          ? ask(
                              new ScopeMessage.SwitchDomain(domain, isOut, place),
                              remainingUntil(end))
                          : Mono.just(found));
        });
  }

  private Duration remainingUntil(long endMillis) {
    return Duration.ofMillis(Math.max(1, endMillis - clock.nowMillis()));
  }

  /**
   * Looks for the leader when it is due, and keeps the contact to it fresh.
   *
   * @since 0.2
   */
  public void tick(long nowMillis) {
    ScopeReplica ledger = localReplica;
    if (ledger != null) {
      updateLeader(ledger.leader());
    }
    if (nowMillis >= nextCheckMillis) {
      nextCheckMillis = nowMillis + CHECK_INTERVAL_MILLIS;
      checkLeaderIfDue(nowMillis);
    }
    logReachability(nowMillis);
  }

  private void logReachability(long nowMillis) {
    boolean inContact = isLeaderReachable(nowMillis);
    if (inContact != wasLeaderReachable) {
      wasLeaderReachable = inContact;
      LOG.info("the leader is {}, last known as {}", inContact ? "reached" : "lost", leader);
    }
  }

  /** Who answers other questions soon need not be asked whether it leads, but for the members. */
  private void checkLeaderIfDue(long nowMillis) {
    LeaderResponse last = lastResponse;
    boolean isReached =
        last.leader() != null
            && last.leader().equals(leader)
            && nowMillis - last.atMillis() < CHECK_INTERVAL_MILLIS
            && last.roundTripMillis() < CHECK_INTERVAL_MILLIS;
    if (!isReached || nowMillis >= nextMembersRefreshMillis) {
      nextMembersRefreshMillis = nowMillis + MEMBERS_REFRESH_MILLIS;
      checkLeader();
    }
  }

  private void checkLeader() {
    InstanceId asked = leader;
    if (asked == null) {
      findLeader().subscribe();
      return;
    }
    // A late answer still shows that the leader is slow, not gone.
    long since = clock.nowMillis();
    search
        .ask(asked, CHECK_TIMEOUT)
        .subscribe(answer -> {}, error -> searchIfUnresponsive(asked, since));
    Mono.delay(LeaderSearch.RESPONSE_TIMEOUT)
        .subscribe(passed -> searchIfUnresponsive(asked, since));
  }

  private void searchIfUnresponsive(InstanceId asked, long sinceMillis) {
    if (asked.equals(leader) && !tracker.hasRespondedSince(asked, sinceMillis)) {
      leader = null;
      findLeader().subscribe();
    }
  }

  /** Looks for the leader at all known instances; never fails. */
  private Mono<Void> findLeader() {
    List<InstanceId> asked = new ArrayList<>(knownInstances());
    if (localReplica != null) {
      asked.add(self);
    }
    return search.findLeader(asked);
  }

  private Mono<ScopeMessage.Leader> askLeader(InstanceId instance, Duration timeout) {
    ScopeReplica ledger = localReplica;
    Mono<Answer> answer =
        ledger != null && instance.equals(self)
            ? ledger.answer(new ScopeMessage.AskLeader())
            : sender.ask(instance, new ScopeMessage.AskLeader(), timeout);
    return answer.ofType(ScopeMessage.Leader.class);
  }

  private void leaderInfoReceived(InstanceId from, ScopeMessage.Leader found, long askedMillis) {
    if (!found.members().isEmpty()) {
      members.set(Set.copyOf(found.members()));
    }
    if (found.isAuthoritative()) {
      leaderResponded(from, askedMillis);
    } else if (from.equals(leader)) {
      updateLeader(from.equals(found.leader()) ? null : found.leader());
    } else if (leader == null) {
      updateLeader(found.leader());
    }
  }

  private void leaderResponded(InstanceId from, long askedMillis) {
    long now = clock.nowMillis();
    leader = from;
    lastResponse = new LeaderResponse(from, now, now - askedMillis);
  }

  private void updateLeader(InstanceId found) {
    if (found != null || localReplica == null) {
      leader = found;
    }
  }

  /** The way of the open questions. */
  private final class ClientLeaderTracker implements LeaderRequest.LeaderTracker {

    @Override
    public InstanceId leader() {
      return leader;
    }

    @Override
    public Mono<Answer> ask(InstanceId instance, Question question, Duration wait) {
      ScopeReplica ledger = localReplica;
      if (ledger != null && instance.equals(self)) {
        return ledger.answer(question);
      }
      long asked = clock.nowMillis();
      return sender
          .ask(instance, question, wait)
          .doOnNext(
              answer -> {
                if (!(answer instanceof ScopeMessage.NotLeader)) {
                  leaderResponded(instance, asked);
                }
              });
    }

    @Override
    public Mono<Void> findLeader() {
      return ScopeClient.this.findLeader().timeout(SEARCH_TIMEOUT, Mono.empty());
    }

    @Override
    public boolean isQuorumReachable() {
      return search.isQuorumReachable();
    }

    @Override
    public void leaderHinted(InstanceId named) {
      updateLeader(named);
    }

    @Override
    public void instanceFailed(InstanceId instance) {
      if (instance.equals(leader)) {
        LOG.debug("{} does not answer", instance);
        leader = null;
      }
    }

    @Override
    public boolean hasRespondedSince(InstanceId instance, long sinceMillis) {
      LeaderResponse last = lastResponse;
      boolean isContact = instance.equals(last.leader()) && last.atMillis() > sinceMillis;
      return isContact || instance.equals(self);
    }
  }
}
