package org.primrosegauge.standin.scope;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;

/** Draws sequences of events from seeds, and shortens those that break something. */
final class SearchPlan {

  private static final int MIN_EVENTS = 5;
  private static final int MAX_EVENTS = 60;

  private SearchPlan() {}

  /** Returns the sequence of a seed, drawn from some kinds of events. */
  static List<SearchEvent> draw(long seed, List<SearchKind> kinds) {
    Random random = new Random(seed);
    List<SearchKind> weighted = SearchKind.weighted(kinds);
    int count = MIN_EVENTS + random.nextInt(MAX_EVENTS - MIN_EVENTS + 1);
    List<SearchEvent> events = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      long after = random.nextInt(4) == 0 ? 0 : random.nextLong(SearchEvent.MAX_AFTER_MILLIS);
      SearchKind kind = weighted.get(random.nextInt(weighted.size()));
      events.add(new SearchEvent(after, kind, random.nextInt(1_000_000)));
    }
    return events;
  }

  /** Leaves out events, first many at a time, while what is left still breaks something. */
  static List<SearchEvent> shorten(
      List<SearchEvent> events, Predicate<List<SearchEvent>> isBroken) {
    List<SearchEvent> shortest = events;
    for (int size = Math.max(1, events.size() / 2); size >= 1; size /= 2) {
      int from = 0;
      while (from < shortest.size()) {
        List<SearchEvent> candidate = without(shortest, from, size);
        if (isBroken.test(candidate)) {
          shortest = candidate;
        } else {
          from += size;
        }
      }
    }
    return shortest;
  }

  /** Leaves some events out; those after them happen at the same times as before. */
  private static List<SearchEvent> without(List<SearchEvent> events, int from, int size) {
    List<SearchEvent> rest = new ArrayList<>(events.subList(0, from));
    long skipped = 0;
    for (int i = from; i < events.size(); i++) {
      SearchEvent event = events.get(i);
      if (i < from + size) {
        skipped += event.afterMillis();
      } else {
        rest.add(new SearchEvent(event.afterMillis() + skipped, event.kind(), event.draw()));
        skipped = 0;
      }
    }
    return rest;
  }
}
