package org.primrosegauge.node.duty;

/**
 * Detects that the machine was suspended: the wall clock moved on while the monotonic clock stood
 * still. A step of the wall clock is taken for a suspension too.
 *
 * <p>Not thread-safe.
 *
 * @since 0.4
 */
public final class SuspensionDetector {

  /** Difference of the clocks that adjustments of the wall clock stay below, in milliseconds. */
  private static final long MIN_SUSPENSION_MILLIS = 100;

  private boolean hasReading;
  private long lastMonotonicMillis;
  private long lastWallMillis;

  /**
   * Returns whether the machine was suspended since the last call.
   *
   * @param monotonicMillis current reading of the monotonic clock, in milliseconds
   * @param wallMillis current reading of the wall clock, in milliseconds
   * @since 0.4
   */
  public boolean wasSuspended(long monotonicMillis, long wallMillis) {
    long lead = (wallMillis - lastWallMillis) - (monotonicMillis - lastMonotonicMillis);
    boolean isSuspension = hasReading && lead >= MIN_SUSPENSION_MILLIS;
    hasReading = true;
    lastMonotonicMillis = monotonicMillis;
    lastWallMillis = wallMillis;
    return isSuspension;
  }
}
