package org.primrosegauge.standin.scope;

/**
 * Tells how long a leader's thread takes for its events.
 *
 * @since 0.3
 */
public interface EventMeter {

  /** Tells whether events take no time, so that each is handled at once. */
  default boolean isFree() {
    return false;
  }

  /** Notes that the thread begins to handle an event. */
  void begin();

  /**
   * Notes that the thread has handled the event.
   *
   * @param examined how many workers, runs, jobs and tasks were looked at
   * @return how long it took, in nanoseconds
   */
  long end(EventKind kind, long examined);
}
