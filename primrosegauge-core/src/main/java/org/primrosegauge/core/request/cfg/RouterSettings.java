package org.primrosegauge.core.request.cfg;

/**
 * Settings of the request router. Immutable.
 *
 * @param maxAttempts most attempts of one request
 * @param failuresToEject failures in a row after which a target is only probed
 * @param probeDelayMillis time before the first probe of an ejected target, in milliseconds
 * @param maxProbeDelayMillis longest time between probes, in milliseconds
 * @param backoffMillis mean delay before the first retry, in milliseconds; doubles with each
 * @param retryReserve retries that a service may save up
 * @param retryAfterMillis least time after which a refused caller is told to come back, in
 *     milliseconds
 * @since 0.1
 */
public record RouterSettings(
    int maxAttempts,
    int failuresToEject,
    long probeDelayMillis,
    long maxProbeDelayMillis,
    long backoffMillis,
    int retryReserve,
    long retryAfterMillis) {

  /** Defaults. */
  public static final RouterSettings DEFAULTS =
      new RouterSettings(3, 3, 1_000, 30_000, 10, 5, 1_000);

  /** Checks the ranges. */
  public RouterSettings {
    if (maxAttempts < 1 || failuresToEject < 1 || retryReserve < 0) {
      throw new IllegalArgumentException("attempts, failures and reserve must not be negative");
    }
    if (probeDelayMillis < 1 || maxProbeDelayMillis < probeDelayMillis) {
      throw new IllegalArgumentException("probe delays must be positive and ascending");
    }
    if (backoffMillis < 1 || retryAfterMillis < 1) {
      throw new IllegalArgumentException("delays must be positive");
    }
  }

  /**
   * Returns a copy with another limit of attempts.
   *
   * @since 0.1
   */
  public RouterSettings withMaxAttempts(int value) {
    return new RouterSettings(
        value,
        failuresToEject,
        probeDelayMillis,
        maxProbeDelayMillis,
        backoffMillis,
        retryReserve,
        retryAfterMillis);
  }

  /**
   * Returns a copy with another reserve of retries.
   *
   * @since 0.1
   */
  public RouterSettings withRetryReserve(int value) {
    return new RouterSettings(
        maxAttempts,
        failuresToEject,
        probeDelayMillis,
        maxProbeDelayMillis,
        backoffMillis,
        value,
        retryAfterMillis);
  }
}
