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
 * Client that sends requests to the scope's leader from any instance.
 *
 * <p>It starts from the seeds and learns the members of the log from their responses. Requests are
 * idempotent, so a request that reached no leader or got no response is retried at another
 * instance.
 *
 * <p>Thread-safe. {@link #tick} must be called a few times per second.
 *
 * @since 0.2
 */
public final class ScopeClient {

  private static final Logger LOG = LoggerFactory.getLogger(ScopeClient.class);

  /** Timeout of a leader check; long enough for a leader whose thread is overloaded. */
  private static final Duration CHECK_TIMEOUT = Duration.ofMillis(3_000);

  private static final Duration SEARCH_TIMEOUT = Duration.ofMillis(200);
  private static final long CHECK_INTERVAL_MILLIS = 300;

  /** Time without a response to a check after which the other voters are asked too. */
  private static final long CHECK_OVERDUE_MILLIS = 200;

  /** Time after that within which those voters respond that can be reached. */
  private static final long VOTER_RESPONSE_MILLIS = 150;

  /** Value for no check without a response. */
  private static final long NO_CHECK_PENDING = Long.MAX_VALUE;

  private static final long REACHABLE_MILLIS = 1_000;

  /** Time after its start within which an instance may not have reached a leader yet. */
  private static final long STARTING_MILLIS = 3_000;

  /**
   * Time after the last response of a leader within which it is likely that one is elected soon
   * although no instance responds. Restarts take a few seconds.
   */
  private static final long OUTAGE_MILLIS = 4_000;

  /** Interval at which the leader is asked for the members even though it responds to requests. */
  private static final long MEMBERS_REFRESH_MILLIS = 3_000;

  /**
   * Most recent response of a leader.
   *
   * @param leader leader that responded
   * @param atMillis when the response arrived, in milliseconds of the monotonic clock
   * @param roundTripMillis time from the request to the response, in milliseconds
   */
  private record LeaderResponse(InstanceId leader, long atMillis, long roundTripMillis) {}

  private final InstanceId self;
  private final RequestSender sender;
  private final MonotonicClock clock;
  private final RetryJitter jitter;
  private final AtomicReference<Set<InstanceId>> seeds = new AtomicReference<>(Set.of());
  private final AtomicReference<Set<InstanceId>> members = new AtomicReference<>(Set.of());
  private volatile ScopeReplica localReplica;
  private volatile LeaderResponse lastResponse = new LeaderResponse(null, Long.MIN_VALUE / 2, 0);
  private volatile InstanceId leader;
  private volatile long nextCheckMillis = Long.MIN_VALUE;
  private volatile long nextMembersRefreshMillis = Long.MIN_VALUE;

  /** When the first check was sent that the leader has not responded to. */
  private volatile long pendingCheckMillis = NO_CHECK_PENDING;

  private volatile boolean wasLeaderReachable;
  private final long createdMillis;
  private final LeaderRequest.LeaderTracker tracker = new ClientLeaderTracker();
  private final LeaderSearch search;

  /**
   * Creates the client.
   *
   * @since 0.2
   */
  public ScopeClient(
      InstanceId self, RequestSender sender, MonotonicClock clock, List<InstanceId> seeds) {
    this(self, sender, clock, seeds, RetryJitter.RANDOM);
  }

  ScopeClient(
      InstanceId self,
      RequestSender sender,
      MonotonicClock clock,
      List<InstanceId> seeds,
      RetryJitter jitter) {
    this.self = self;
    this.sender = sender;
    this.clock = clock;
    this.jitter = jitter;
    this.createdMillis = clock.nowMillis();
    this.search = new LeaderSearch(this::askLeader, this::leaderInfoReceived, clock);
    seeds(seeds);
  }

  /**
   * Sets the local replica, to which requests are handed directly while this instance leads.
   *
   * @param replica replica; null while this instance has no usable storage
   * @since 0.2
   */
  public void attach(ScopeReplica replica) {
    localReplica = replica;
  }

  /**
   * Replaces the instances that are contacted before any member of the log is known.
   *
   * @since 0.2
   */
  public void seeds(List<InstanceId> instances) {
    seeds.set(Set.copyOf(instances));
  }

  /**
   * Returns whether a leader has responded recently.
   *
   * @since 0.2
   */
  public boolean isLeaderReachable(long nowMillis) {
    return nowMillis - lastResponse.atMillis() <= REACHABLE_MILLIS;
  }

  /**
   * Returns whether this instance is able to serve callers: a leader has responded recently, and
   * there is no sign that this instance is partitioned from most voters.
   *
   * @since 0.4
   */
  public boolean isReady(long nowMillis) {
    return isLeaderReachable(nowMillis) && !isPartitioned(nowMillis);
  }

  /**
   * Returns whether the leader has not responded to a check, nor have most of the voters that were
   * asked thereupon. While a lost leader is being replaced, most of them do.
   */
  private boolean isPartitioned(long nowMillis) {
    long since = pendingCheckMillis;
    boolean isOverdue =
        since != NO_CHECK_PENDING
            && nowMillis - since >= CHECK_OVERDUE_MILLIS + VOTER_RESPONSE_MILLIS;
    return isOverdue && search.hasOnlyMinorityRespondedSince(since);
  }

  /**
   * Returns the last known leader, or null if none is known.
   *
   * @since 0.2
   */
  public InstanceId leader() {
    return leader;
  }

  /**
   * Returns the other instances that may know the leader: the members of the log and the seeds.
   *
   * @since 0.2
   */
  public List<InstanceId> knownInstances() {
    Set<InstanceId> all = new LinkedHashSet<>(members.get());
    all.addAll(seeds.get());
    all.remove(self);
    return List.copyOf(all);
  }

  /**
   * Sends a request to the leader, retrying until it gets a conclusive response or the timeout
   * expires.
   *
   * @param timeout longest wait
   * @return the response; {@link ScopeMessage.Refused} with {@link ScopeRefusal#NO_LEADER} if the
   *     request was not executed; {@link ScopeMessage.Unknown} if it may have been; never an error
   * @since 0.2
   */
  public Mono<Answer> ask(Question request, Duration timeout) {
    return Mono.defer(() -> new LeaderRequest(tracker, clock, jitter, request, timeout).response());
  }

  /**
   * Forwards an operator's order to take a failure domain out of service or back into service. An
   * order that is delayed in transit is refused with {@link ScopeRefusal#OVERTAKEN} if it would
   * undo a newer one.
   *
   * @param timeout longest wait
   * @return the response, as for {@link #ask(Question, Duration)}
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
   * Checks the leader at a fixed interval, and searches for it if it is unknown or unresponsive.
   *
   * @param nowMillis current time of the monotonic clock, in milliseconds
   * @since 0.2
   */
  public void tick(long nowMillis) {
    ScopeReplica replica = localReplica;
    if (replica != null) {
      updateLeader(replica.leader());
    }
    if (nowMillis >= nextCheckMillis) {
      checkLeaderIfDue(nowMillis);
    }
    logReachability(nowMillis);
  }

  private void logReachability(long nowMillis) {
    boolean isReachable = isLeaderReachable(nowMillis);
    if (isReachable != wasLeaderReachable) {
      wasLeaderReachable = isReachable;
      LOG.info("leader was {}, last known leader {}", isReachable ? "reached" : "lost", leader);
    }
  }

  /**
   * Checks the leader unless it has just responded to another request. The members are refreshed at
   * their own interval in any case.
   */
  private void checkLeaderIfDue(long nowMillis) {
    LeaderResponse last = lastResponse;
    boolean hasRecentResponse =
        last.leader() != null
            && last.leader().equals(leader)
            && nowMillis - last.atMillis() < CHECK_INTERVAL_MILLIS
            && last.roundTripMillis() < CHECK_INTERVAL_MILLIS;
    if (hasRecentResponse && nowMillis < nextMembersRefreshMillis) {
      nextCheckMillis = last.atMillis() + CHECK_INTERVAL_MILLIS;
      return;
    }
    nextCheckMillis = nowMillis + CHECK_INTERVAL_MILLIS;
    nextMembersRefreshMillis = nowMillis + MEMBERS_REFRESH_MILLIS;
    checkLeader();
  }

  private void checkLeader() {
    InstanceId asked = leader;
    if (asked == null) {
      findLeader().subscribe();
      return;
    }
    // A late response still shows that the leader is slow rather than down.
    long since = clock.nowMillis();
    if (pendingCheckMillis == NO_CHECK_PENDING) {
      pendingCheckMillis = since;
    }
    search
        .ask(asked, CHECK_TIMEOUT)
        .subscribe(answer -> {}, error -> searchIfUnresponsive(asked, since));
    Mono.delay(Duration.ofMillis(CHECK_OVERDUE_MILLIS))
        .subscribe(passed -> askVotersIfOverdue(asked, since));
    Mono.delay(LeaderSearch.RESPONSE_TIMEOUT)
        .subscribe(passed -> searchIfUnresponsive(asked, since));
  }

  private void askVotersIfOverdue(InstanceId asked, long sinceMillis) {
    if (!tracker.hasRespondedSince(asked, sinceMillis)) {
      findLeader().subscribe();
    }
  }

  private void searchIfUnresponsive(InstanceId asked, long sinceMillis) {
    if (asked.equals(leader) && !tracker.hasRespondedSince(asked, sinceMillis)) {
      leader = null;
      findLeader().subscribe();
    }
  }

  /** Searches for the leader among all known instances; never signals an error. */
  private Mono<Void> findLeader() {
    List<InstanceId> asked = new ArrayList<>(knownInstances());
    if (localReplica != null) {
      asked.add(self);
    }
    return search.findLeader(asked);
  }

  private Mono<ScopeMessage.Leader> askLeader(InstanceId instance, Duration timeout) {
    ScopeReplica replica = localReplica;
    Mono<Answer> answer =
        replica != null && instance.equals(self)
            ? replica.answer(new ScopeMessage.AskLeader())
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
    pendingCheckMillis = NO_CHECK_PENDING;
    lastResponse = new LeaderResponse(from, now, now - askedMillis);
  }

  private void updateLeader(InstanceId found) {
    if (found != null || localReplica == null) {
      leader = found;
    }
  }

  /** View of the leader that the requests in flight share. */
  private final class ClientLeaderTracker implements LeaderRequest.LeaderTracker {

    @Override
    public InstanceId leader() {
      return leader;
    }

    @Override
    public Mono<Answer> ask(InstanceId instance, Question request, Duration wait) {
      ScopeReplica replica = localReplica;
      if (replica != null && instance.equals(self)) {
        return replica.answer(request);
      }
      long asked = clock.nowMillis();
      return sender
          .ask(instance, request, wait)
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
    public boolean isMinorityReachable() {
      return search.isMinorityReachable();
    }

    @Override
    public LeaderRequest.LeaderContact contact() {
      long now = clock.nowMillis();
      if (isReady(now)) {
        return LeaderRequest.LeaderContact.RECENT;
      }
      boolean isStarting = lastResponse.leader() == null && now - createdMillis < STARTING_MILLIS;
      if (isStarting) {
        return LeaderRequest.LeaderContact.STARTING;
      }
      boolean isOutage = search.areAllSilent() && now - lastResponse.atMillis() < OUTAGE_MILLIS;
      return isOutage ? LeaderRequest.LeaderContact.OUTAGE : LeaderRequest.LeaderContact.LOST;
    }

    @Override
    public void leaderHinted(InstanceId hinted) {
      updateLeader(hinted);
    }

    @Override
    public void instanceFailed(InstanceId instance) {
      if (instance.equals(leader)) {
        LOG.debug("no answer from leader {}, searching for another leader", instance);
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
