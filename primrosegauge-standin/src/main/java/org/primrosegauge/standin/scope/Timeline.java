package org.primrosegauge.standin.scope;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Tasks that run at their time, those of one time in the order in which they were added.
 *
 * <p>Not thread-safe.
 */
final class Timeline {

  private record Event(long atMillis, long number, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
  private long added;

  void at(long millis, Runnable task) {
    events.add(new Event(millis, added++, task));
  }

  /** Runs all tasks that are due by a time, also those that are added meanwhile. */
  void runUntil(long millis) {
    while (!events.isEmpty() && events.peek().atMillis() <= millis) {
      events.poll().task().run();
    }
  }
}
