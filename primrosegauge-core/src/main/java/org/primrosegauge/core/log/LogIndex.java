package org.primrosegauge.core.log;

/**
 * Position of an entry in the replicated log.
 *
 * @param number 0 before the first entry
 * @since 0.1
 */
public record LogIndex(long number) implements Comparable<LogIndex> {

  /** The position before the first entry. */
  public static final LogIndex NONE = new LogIndex(0);

  /** Checks the range. */
  public LogIndex {
    if (number < 0) {
      throw new IllegalArgumentException("negative log index " + number);
    }
  }

  /**
   * Returns the position that follows.
   *
   * @since 0.1
   */
  public LogIndex next() {
    return new LogIndex(number + 1);
  }

  /**
   * Tells whether this position is behind another.
   *
   * @since 0.1
   */
  public boolean isAfter(LogIndex other) {
    return number > other.number;
  }

  @Override
  public int compareTo(LogIndex other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
