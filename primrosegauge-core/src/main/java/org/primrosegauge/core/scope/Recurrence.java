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

  /** Latest time at which an occurrence of an accepted job is due, in milliseconds since 1970. */
  public static final long MAX_DUE_MILLIS = (1L << 53) - 1;

  /** Validates the ranges of the components. */
  public Recurrence {
    if (occurrences < 1 || intervalMillis < 0 || startMillis < 0) {
      throw new IllegalArgumentException(
          "recurrence is out of range: startMillis="
              + startMillis
              + ", occurrences="
              + occurrences
              + ", intervalMillis="
              + intervalMillis);
    }
  }

  /**
   * Returns the time when an occurrence is due, in milliseconds since 1970; {@link Long#MAX_VALUE}
   * if it is later than that.
   *
   * @since 0.2
   */
  public long dueMillis(int occurrence) {
    boolean isInRange =
        occurrence == 0 || intervalMillis <= (Long.MAX_VALUE - startMillis) / occurrence;
    return isInRange ? startMillis + occurrence * intervalMillis : Long.MAX_VALUE;
  }

  /**
   * Returns the time when the last occurrence is due, in milliseconds since 1970.
   *
   * @since 0.4
   */
  public long lastDueMillis() {
    return dueMillis(occurrences - 1);
  }
}
