package org.primrosegauge.core.scope;

/**
 * Schedule of a recurring job.
 *
 * @param startMillis due time of the first occurrence, in milliseconds since 1970
 * @param intervalMillis interval between two due times, in milliseconds
 * @param occurrences number of occurrences, at least 1
 * @since 0.2
 */
public record Recurrence(long startMillis, long intervalMillis, int occurrences) {

  /** Schedule of a job that runs once, immediately. */
  public static final Recurrence NONE = new Recurrence(0, 0, 1);

  /** Validates the ranges of the components. */
  public Recurrence {
    if (occurrences < 1 || intervalMillis < 0) {
      throw new IllegalArgumentException(
          "recurrence is out of range: occurrences="
              + occurrences
              + ", intervalMillis="
              + intervalMillis);
    }
  }

  /**
   * Returns the time when an occurrence is due, in milliseconds since 1970.
   *
   * @since 0.2
   */
  public long dueMillis(int occurrence) {
    return startMillis + occurrence * intervalMillis;
  }
}
