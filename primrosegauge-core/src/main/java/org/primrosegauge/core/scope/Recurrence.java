package org.primrosegauge.core.scope;

/**
 * When a job runs again.
 *
 * @param startMillis due time of the first occurrence, in milliseconds since 1970
 * @param intervalMillis time between two due times, in milliseconds
 * @param occurrences number of occurrences, at least 1
 * @since 0.2
 */
public record Recurrence(long startMillis, long intervalMillis, int occurrences) {

  /** A job that runs once, at once. */
  public static final Recurrence NONE = new Recurrence(0, 0, 1);

  /** Checks the ranges. */
  public Recurrence {
    if (occurrences < 1 || intervalMillis < 0) {
      throw new IllegalArgumentException("occurrences " + occurrences + " each " + intervalMillis);
    }
  }

  /**
   * Returns when an occurrence is due, in milliseconds since 1970.
   *
   * @since 0.2
   */
  public long dueMillis(int occurrence) {
    return startMillis + occurrence * intervalMillis;
  }
}
