package org.primrosegauge.node.duty;

/**
 * Detects that the machine was suspended: the wall clock moved on while the monotonic clock stood
 * still. A step of the wall clock forward is taken for a suspension too.
 *
 * <p>Not thread-safe.
 *
 * @since 0.4
 */
public final class SuspensionDetector {

  /** Difference of the clocks that adjustments of the wall clock stay below, in milliseconds. */
  private static final long MIN_SUSPENSION_MILLIS = 100;

  /** Longest time between the readings of both clocks that are compared, in milliseconds. */
  private static final long MAX_READING_MILLIS = 20;

  private final MonotonicClock monotonicClock;
  private final MonotonicClock wallClock;
  private boolean hasReading;
  private long lastMonotonicMillis;
  private long lastWallMillis;

  /**
   * Creates a detector that has read neither clock yet.
   *
   * @param monotonicClock monotonic clock
   * @param wallClock wall clock, in milliseconds since 1970
   * @since 0.4
   */
  public SuspensionDetector(MonotonicClock monotonicClock, MonotonicClock wallClock) {
    this.monotonicClock = monotonicClock;
    this.wallClock = wallClock;
  }

  /**
   * Returns whether the machine was suspended since the last call. Readings between which the
   * thread had to wait are not compared; the next call covers their time too.
   *
   * @since 0.4
   */
  public boolean wasSuspended() {
    final long beforeMillis = monotonicClock.nowMillis();
    final long wallMillis = wallClock.nowMillis();
    final long monotonicMillis = monotonicClock.nowMillis();
    if (monotonicMillis - beforeMillis > MAX_READING_MILLIS) {
      return false;
    }
    long lead = (wallMillis - lastWallMillis) - (monotonicMillis - lastMonotonicMillis);
    final boolean isSuspension = hasReading && lead >= MIN_SUSPENSION_MILLIS;
    hasReading = true;
    lastMonotonicMillis = monotonicMillis;
    lastWallMillis = wallMillis;
    return isSuspension;
  }
}
