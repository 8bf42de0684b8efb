package org.primrosegauge.node.scope;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.node.duty.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Finds the leader by asking the instances that replicate the log, and tracks which of them
 * respond.
 *
 * <p>Concurrent callers share one search.
 *
 * <p>Thread-safe.
 */
final class LeaderSearch {

  /** Timeout for the response of one instance in a search. */
  static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(600);

  /** Time during which later callers join a search that has started, in milliseconds. */
  private static final long SEARCH_SHARED_MILLIS = 100;

  /** Time after its last response for which an instance counts as responsive, in milliseconds. */
  private static final long RESPONSIVE_MILLIS = 1_000;

  /** Asks one instance for the leader. */
  @FunctionalInterface
  interface LeaderQuery {

    /** Returns the response, or an error if there is none within the timeout. */
    Mono<ScopeMessage.Leader> ask(InstanceId instance, Duration timeout);
  }

  /** Receives the responses. */
  @FunctionalInterface
  interface Listener {

    /**
     * Called for each response.
     *
     * @param askedMillis when the request was sent, in milliseconds of the monotonic clock
     */
    void responseReceived(InstanceId from, ScopeMessage.Leader found, long askedMillis);
  }

  private final LeaderQuery query;
  private final Listener listener;
  private final MonotonicClock clock;
  private final Map<InstanceId, Long> lastResponseMillis = new ConcurrentHashMap<>();
  private volatile List<InstanceId> voters = List.of();
  private Mono<Void> currentSearch = Mono.empty();
  private long currentSearchMillis = Long.MIN_VALUE / 2;

  LeaderSearch(LeaderQuery query, Listener listener, MonotonicClock clock) {
    this.query = query;
    this.listener = listener;
    this.clock = clock;
  }

  /**
   * Returns whether a majority of the voters has responded recently. If none of them leads, a
   * leader is about to be elected.
   */
  boolean isQuorumReachable() {
    return 2 * responsiveVoters() > voters.size();
  }

  /**
   * Returns whether fewer than half of the voters have responded recently, so that this instance is
   * likely to be partitioned from the others.
   */
  boolean isMinorityReachable() {
    return 2 * responsiveVoters() < voters.size();
  }

  /** Returns whether no instance that was asked has responded recently, a voter or not. */
  boolean areAllSilent() {
    long since = clock.nowMillis() - RESPONSIVE_MILLIS;
    return lastResponseMillis.values().stream().noneMatch(millis -> millis > since);
  }

  /** Returns whether fewer than half of the voters have responded since a time. */
  boolean hasOnlyMinorityRespondedSince(long millis) {
    return 2 * votersRespondedSince(millis) < voters.size();
  }

  private long responsiveVoters() {
    return votersRespondedSince(clock.nowMillis() - RESPONSIVE_MILLIS);
  }

  private long votersRespondedSince(long millis) {
    return voters.stream()
        .filter(voter -> lastResponseMillis.getOrDefault(voter, millis) > millis)
        .count();
  }

  /** Asks one instance and records its response. */
  Mono<ScopeMessage.Leader> ask(InstanceId instance, Duration timeout) {
    return Mono.defer(
        () -> {
          long asked = clock.nowMillis();
          return query
              .ask(instance, timeout)
              .doOnNext(found -> recordResponse(instance, found, asked));
        });
  }

  private void recordResponse(InstanceId instance, ScopeMessage.Leader found, long askedMillis) {
    lastResponseMillis.put(instance, clock.nowMillis());
    if (!found.voters().isEmpty()) {
      voters = found.voters();
      lastResponseMillis.keySet().retainAll(found.members());
    }
    listener.responseReceived(instance, found, askedMillis);
  }

  /**
   * Asks instances concurrently. Completes when the first of them leads or names a leader, or when
   * all have responded or timed out. Never signals an error.
   */
  synchronized Mono<Void> findLeader(Collection<InstanceId> instances) {
    long now = clock.nowMillis();
    if (now - currentSearchMillis >= SEARCH_SHARED_MILLIS) {
      currentSearchMillis = now;
      currentSearch = search(List.copyOf(instances));
    }
    return currentSearch;
  }

  private Mono<Void> search(List<InstanceId> instances) {
    Sinks.Empty<Void> found = Sinks.empty();
    Flux.fromIterable(instances)
        .flatMap(
            instance -> ask(instance, RESPONSE_TIMEOUT).onErrorResume(error -> Mono.empty()),
            Math.max(1, instances.size()))
        .subscribe(
            answer -> {
              if (answer.isAuthoritative() || answer.leader() != null) {
                found.tryEmitEmpty();
              }
            },
            error -> found.tryEmitEmpty(),
            found::tryEmitEmpty);
    return found.asMono();
  }
}
