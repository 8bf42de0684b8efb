package org.primrosegauge.standin.scope;

import java.util.Random;

/**
 * One event of a searched sequence.
 *
 * @param afterMillis time since the event before it, in milliseconds
 * @param kind what happens
 * @param draw seed of all that the kind leaves open
 */
record SearchEvent(long afterMillis, SearchKind kind, long draw) {

  static final long MAX_AFTER_MILLIS = 600;

  /** Reads an event as {@link #toString} writes it. */
  static SearchEvent parse(String line) {
    String[] words = line.strip().split(" ");
    return new SearchEvent(
        Long.parseLong(words[0]), SearchKind.valueOf(words[1]), Long.parseLong(words[2]));
  }

  void happenIn(SearchWorld world) {
    kind.happenIn(world, new Random(draw));
  }

  @Override
  public String toString() {
    return afterMillis + " " + kind + " " + draw;
  }
}
