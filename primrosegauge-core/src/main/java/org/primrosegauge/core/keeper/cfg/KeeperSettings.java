package org.primrosegauge.core.keeper.cfg;

/**
 * Lengths of the keeper's lease. Equal on every instance and on the quorum.
 *
 * @param leaseMillis nominal length of a lease, in milliseconds
 * @param renewMillis time between two attempts to renew or to acquire, in milliseconds
 * @param driftPpm largest deviation of the rate of any clock from true time, in parts per million
 * @since 0.1
 */
public record KeeperSettings(long leaseMillis, long renewMillis, long driftPpm) {

  /** Settings used where none are given. */
  public static final KeeperSettings DEFAULT = new KeeperSettings(3_000, 500, 10_000);

  private static final long MILLION = 1_000_000;

  /** Checks the ranges. */
  public KeeperSettings {
    if (renewMillis < 1 || leaseMillis < 2 * renewMillis) {
      throw new IllegalArgumentException(
          "lease of " + leaseMillis + " ms renewed every " + renewMillis + " ms");
    }
    if (driftPpm < 0 || driftPpm >= MILLION) {
      throw new IllegalArgumentException("drift of " + driftPpm + " parts per million");
    }
  }

  /**
   * Returns how long a holder may rely on a lease, on its own clock: at most the nominal length in
   * true time, even if the clock is slow. In milliseconds, rounded down.
   *
   * @since 0.1
   */
  public long holderMillis() {
    return leaseMillis * (MILLION - driftPpm) / MILLION;
  }

  /**
   * Returns how long a granter keeps a promise, on its own clock: at least the nominal length in
   * true time, even if the clock is fast. In milliseconds, rounded up.
   *
   * @since 0.1
   */
  public long promiseMillis() {
    return (leaseMillis * (MILLION + driftPpm) + MILLION - 1) / MILLION;
  }

  /**
   * Returns a copy with another lease length.
   *
   * @since 0.1
   */
  public KeeperSettings withLeaseMillis(long millis) {
    return new KeeperSettings(millis, renewMillis, driftPpm);
  }

  /**
   * Returns a copy with another renewal interval.
   *
   * @since 0.1
   */
  public KeeperSettings withRenewMillis(long millis) {
    return new KeeperSettings(leaseMillis, millis, driftPpm);
  }

  /**
   * Returns a copy with another drift bound.
   *
   * @since 0.1
   */
  public KeeperSettings withDriftPpm(long ppm) {
    return new KeeperSettings(leaseMillis, renewMillis, ppm);
  }
}
