package org.primrosegauge.core.scope;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;

/**
 * Cancellations of jobs that were unknown when they were cancelled. A submission that was delayed
 * in transit may arrive after its caller was told that there is no such job; it is refused.
 *
 * <p>Bounded in number, and in time by {@link #purgeBefore}. Deterministic. Not thread-safe.
 */
final class EarlyCancellations {

  /** Largest number of cancellations that are kept. */
  static final int MAX_KEPT = 16_384;

  /**
   * Identity of a cancellation.
   *
   * @param queue queue that the caller's path named
   * @param customer customer of the caller's key; null without a known key on a public queue
   */
  private record Cancellation(JobId job, QueueName queue, CustomerId customer) {}

  /** Time of each cancellation by the retention clock, earliest first. */
  private final Map<Cancellation, Long> times = new LinkedHashMap<>();

  private final Map<JobId, Set<Cancellation>> byJob = new HashMap<>();

  /** Returns whether a submitted job was cancelled before. */
  boolean contains(ScopeJob job) {
    return byJob.getOrDefault(job.id(), Set.of()).stream()
        .anyMatch(each -> job.isVisibleTo(each.queue(), each.customer()));
  }

  /**
   * Records a cancellation, or renews it.
   *
   * @param atMillis time of the retention clock, in milliseconds; never before that of another one
   * @return whether there was room
   */
  boolean add(JobId job, QueueName queue, CustomerId customer, long atMillis) {
    Cancellation added = new Cancellation(job, queue, customer);
    boolean isKnown = times.remove(added) != null;
    if (!isKnown && times.size() >= MAX_KEPT) {
      return false;
    }
    times.put(added, atMillis);
    byJob.computeIfAbsent(job, id -> new HashSet<>()).add(added);
    return true;
  }

  /** Removes the cancellations before the given time of the retention clock, in milliseconds. */
  void purgeBefore(long millis) {
    Iterator<Map.Entry<Cancellation, Long>> earliest = times.entrySet().iterator();
    while (earliest.hasNext()) {
      Map.Entry<Cancellation, Long> next = earliest.next();
      if (next.getValue() >= millis) {
        return;
      }
      earliest.remove();
      removeFromIndex(next.getKey());
    }
  }

  private void removeFromIndex(Cancellation removed) {
    byJob.computeIfPresent(
        removed.job(),
        (job, known) -> {
          known.remove(removed);
          return known.isEmpty() ? null : known;
        });
  }

  /** Moves the cancellations to the queues that have taken the place of theirs. */
  void moveQueues(UnaryOperator<QueueName> newQueue) {
    boolean isMoved =
        times.keySet().stream()
            .anyMatch(each -> !newQueue.apply(each.queue()).equals(each.queue()));
    if (isMoved) {
      List<ScopeSnapshot.CancellationState> former = snapshot();
      clear();
      former.forEach(
          each -> add(each.job(), newQueue.apply(each.queue()), each.customer(), each.atMillis()));
    }
  }

  /** Returns the queues of the cancellations. */
  Set<QueueName> queues() {
    Set<QueueName> queues = new HashSet<>();
    times.keySet().forEach(each -> queues.add(each.queue()));
    return queues;
  }

  void clear() {
    times.clear();
    byJob.clear();
  }

  List<ScopeSnapshot.CancellationState> snapshot() {
    List<ScopeSnapshot.CancellationState> states = new ArrayList<>();
    times.forEach(
        (each, atMillis) ->
            states.add(
                new ScopeSnapshot.CancellationState(
                    each.job(), each.queue(), each.customer(), atMillis)));
    return states;
  }

  void restore(List<ScopeSnapshot.CancellationState> states) {
    clear();
    states.forEach(each -> add(each.job(), each.queue(), each.customer(), each.atMillis()));
  }
}
