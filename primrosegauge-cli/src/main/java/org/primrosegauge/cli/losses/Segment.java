package org.primrosegauge.cli.losses;

/**
 * Part of the time of a job.
 *
 * @param fromMillis beginning, in milliseconds since 1970
 * @param toMillis end, in milliseconds since 1970
 * @param reason what the time was spent on
 * @param detail run, worker or job concerned; empty for none
 * @since 0.4
 */
public record Segment(long fromMillis, long toMillis, TimeReason reason, String detail) {

  /**
   * Returns the length in milliseconds.
   *
   * @since 0.4
   */
  public long millis() {
    return toMillis - fromMillis;
  }
}
