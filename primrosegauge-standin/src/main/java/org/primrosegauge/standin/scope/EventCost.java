package org.primrosegauge.standin.scope;

/**
 * Processor time that a leader's thread takes for its events.
 *
 * @param eventNanos fixed part of each event, in nanoseconds: decoding, log entry, answer
 * @param examinedNanos part of each worker, run, job or task that a decision looks at, in
 *     nanoseconds
 * @param coreShare share of a core that the thread has
 * @since 0.3
 */
public record EventCost(long eventNanos, long examinedNanos, double coreShare)
    implements EventMeter {

  /**
   * Events take no time.
   *
   * @since 0.3
   */
  public static final EventCost NONE = new EventCost(0, 0, 1);

  /**
   * Times of a leader that has a core of its own.
   *
   * @since 0.3
   */
  public static final EventCost OF_LEADER = new EventCost(60_000, 180, 1);

  /** Checks the ranges. */
  public EventCost {
    if (eventNanos < 0 || examinedNanos < 0 || coreShare <= 0) {
      throw new IllegalArgumentException(
          "event " + eventNanos + ", examined " + examinedNanos + ", share " + coreShare);
    }
  }

  /**
   * Returns how long an event takes, in nanoseconds.
   *
   * @param examined how many workers, runs, jobs and tasks were looked at
   * @since 0.3
   */
  public long nanosFor(long examined) {
    return (long) ((eventNanos + examined * examinedNanos) / coreShare);
  }

  @Override
  public boolean isFree() {
    return eventNanos == 0 && examinedNanos == 0;
  }

  @Override
  public void begin() {}

  @Override
  public long end(EventKind kind, long examined) {
    return nanosFor(examined);
  }
}
