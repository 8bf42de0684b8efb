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
 * Asks the instances that keep the log who leads, and remembers which of them answer.
 *
 * <p>Those who look for the leader at the same time share one search.
 *
 * <p>Thread-safe.
 */
final class LeaderSearch {

  /** Longest wait for the answer of an instance that is asked in a search. */
  static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(600);

  /** Time for which a search is shared with those who come later, in milliseconds. */
  private static final long SEARCH_SHARED_MILLIS = 100;

  /** Time after its answer for which an instance counts as running, in milliseconds. */
  private static final long RESPONSIVE_MILLIS = 1_000;

  /** Asks one instance. */
  @FunctionalInterface
  interface LeaderQuery {

    /** Returns the answer, or an error when there is none in time. */
    Mono<ScopeMessage.Leader> ask(InstanceId instance, Duration timeout);
  }

  /** Takes the answers. */
  @FunctionalInterface
  interface Listener {

    /** Notes an answer, and when it was asked for. */
    void responseReceived(InstanceId from, ScopeMessage.Leader found, long askedMillis);
  }

  private final LeaderQuery query;
  private final Listener listener;
  private final MonotonicClock clock;
  private final Map<InstanceId, Long> lastResponseMillis = new ConcurrentHashMap<>();
  private volatile List<InstanceId> voters = List.of();
  private Mono<Void> currentSearch = Mono.empty();
  private long currentSearchMillis = Long.MIN_VALUE / 2;

  LeaderSearch(LeaderQuery asker, Listener listener, MonotonicClock clock) {
    this.query = asker;
    this.listener = listener;
    this.clock = clock;
  }

  /**
   * Tells whether most of the voters have answered lately: if none of them leads, one is about to.
   */
  boolean isQuorumReachable() {
    long since = clock.nowMillis() - RESPONSIVE_MILLIS;
    List<InstanceId> known = voters;
    long alive =
        known.stream()
            .filter(voter -> lastResponseMillis.getOrDefault(voter, since) > since)
            .count();
    return 2 * alive > known.size();
  }

  /** Asks one instance; its answer is noted. */
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
   * Asks instances at once; completes with the first that leads or knows a leader, or when all have
   * answered or not. Never fails.
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
