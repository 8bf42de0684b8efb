package org.primrosegauge.cli.losses;

/**
 * Interval of time, in milliseconds since 1970.
 *
 * @param fromMillis beginning
 * @param toMillis end
 */
record Interval(long fromMillis, long toMillis) {

  /** Returns the part of this interval within bounds; empty or negative if there is none. */
  Interval within(long lowMillis, long highMillis) {
    return new Interval(Math.max(fromMillis, lowMillis), Math.min(toMillis, highMillis));
  }

  boolean isEmpty() {
    return toMillis <= fromMillis;
  }
}
