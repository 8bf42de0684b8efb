package org.primrosegauge.core.request.impl;

/**
 * Running estimates of how long a service takes, from its good answers. Declared times are not
 * used, since they are far off.
 *
 * @since 0.1
 */
public final class ServiceTimes {

  private static final double MEAN_WEIGHT = 0.1;

  /** The least time drifts up slowly, so that a service that became slower is noticed. */
  private static final double LEAST_DRIFT = 0.01;

  private double meanMillis;
  private double leastMillis;
  private boolean measured;

  /** Takes in one measured time. */
  public void note(long millis) {
    if (!measured) {
      measured = true;
      meanMillis = millis;
      leastMillis = millis;
      return;
    }
    meanMillis += MEAN_WEIGHT * (millis - meanMillis);
    double drift = LEAST_DRIFT * (millis - leastMillis);
    leastMillis = millis < leastMillis ? millis : leastMillis + drift;
  }

  /** Returns the mean time, in milliseconds; 0 when nothing was measured. */
  public double meanMillis() {
    return meanMillis;
  }

  /** Returns the time below which answers are rare, in milliseconds. */
  public long leastMillis() {
    return (long) leastMillis;
  }
}
