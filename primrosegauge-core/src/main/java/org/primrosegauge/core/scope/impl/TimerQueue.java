package org.primrosegauge.core.scope.impl;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Priority queue of items by due time. Items with the same due time are returned in insertion
 * order.
 *
 * <p>Items cannot be removed early: the caller of {@link #take} has to check whether an item is
 * still relevant. Not thread-safe.
 */
final class TimerQueue<T> {

  private record Entry<T>(long millis, long number, T item) {}

  private final PriorityQueue<Entry<T>> entries =
      new PriorityQueue<>(
          Comparator.<Entry<T>>comparingLong(Entry::millis).thenComparingLong(Entry::number));
  private long nextNumber;

  void clear() {
    entries.clear();
  }

  void add(T item, long millis) {
    entries.add(new Entry<>(millis, nextNumber++, item));
  }

  /** Removes and returns the first item that is due; empty if there is none. */
  Optional<T> take(long nowMillis) {
    Entry<T> first = entries.peek();
    if (first == null || first.millis() > nowMillis) {
      return Optional.empty();
    }
    entries.remove();
    return Optional.of(first.item());
  }
}
