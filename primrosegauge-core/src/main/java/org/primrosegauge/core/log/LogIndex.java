package org.primrosegauge.core.log;

/**
 * Index of an entry in the replicated log.
 *
 * @param number 1 for the first entry; 0 stands for the index before it
 * @since 0.1
 */
public record LogIndex(long number) implements Comparable<LogIndex> {

  /** Index before the first entry. */
  public static final LogIndex NONE = new LogIndex(0);

  /** Rejects negative numbers. */
  public LogIndex {
    if (number < 0) {
      throw new IllegalArgumentException("log index must not be negative: " + number);
    }
  }

  /**
   * Returns the next index.
   *
   * @since 0.1
   */
  public LogIndex next() {
    return new LogIndex(number + 1);
  }

  /**
   * Returns whether this index is greater than another.
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
