package org.primrosegauge.core.scope.impl;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Items in the order of the times at which they are due; those due at the same time come in the
 * order in which they were added.
 *
 * <p>An item stays until it is taken, whatever has become of it; who takes it looks whether it
 * still matters. Not thread-safe.
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

  /** Takes the first item that is due; empty when none is. */
  Optional<T> take(long nowMillis) {
    Entry<T> first = entries.peek();
    if (first == null || first.millis() > nowMillis) {
      return Optional.empty();
    }
    entries.remove();
    return Optional.of(first.item());
  }
}
