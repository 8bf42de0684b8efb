package org.primrosegauge.standin.scope;

import org.primrosegauge.core.job.Resources;

/**
 * Shape of the workers of an emulated scope.
 *
 * @param workers number of workers
 * @param domains number of failure domains, filled in turn
 * @param workersPerRack workers of one rack
 * @param capacity capacity of each worker
 * @param distanceFactor how many times as long tasks take far from their data, and gangs that are
 *     faster on one rack on several
 * @param leastStopMillis least time that a stop takes, in milliseconds
 * @param mostStopMillis most time that a stop takes, in milliseconds
 * @param guards whether workers refuse what does not fit
 * @since 0.3
 */
public record EmulatedFleet(
    int workers,
    int domains,
    int workersPerRack,
    Resources capacity,
    int distanceFactor,
    int leastStopMillis,
    int mostStopMillis,
    boolean guards) {

  private static final int STOP_MILLIS = 300;

  /**
   * Returns a fleet of a few workers on which distance costs nothing.
   *
   * @since 0.3
   */
  public static EmulatedFleet small(int workers, boolean guards) {
    return new EmulatedFleet(
        workers, 3, 3, new Resources(64_000, 256_000, 8), 1, STOP_MILLIS, STOP_MILLIS, guards);
  }
}
