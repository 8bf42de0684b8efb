package org.primrosegauge.core.scope.cfg;

/**
 * Settings of the scope scheduler. Immutable; all times in milliseconds.
 *
 * @param leaseMillis lease that each look at a worker renews
 * @param startWindowMillis time after its decision in which a start may still be carried out
 * @param lookMillis longest time that a look at a worker waits for an end
 * @param stopTimeoutMillis longest time that a worker needs to stop a task
 * @param keepMillis silence for which a worker keeps its runs even where its lease is shorter:
 *     orders may reach it though its answers do not come
 * @param silenceMillis time without a word from a worker after which it gets nothing new
 * @param stallMillis time without progress after which a run is started again elsewhere
 * @param asideMillis time for which a worker that failed repeatedly gets nothing new
 * @param retryMillis pause before a step is tried again after a start was rejected
 * @param clockErrorPercent most by which a worker's clock may be slow
 * @since 0.2
 */
public record ScopeSettings(
    long leaseMillis,
    long startWindowMillis,
    long pollWaitMillis,
    long stopTimeoutMillis,
    long silentRenewalMillis,
    long silenceTimeoutMillis,
    long stallTimeoutMillis,
    long quarantineMillis,
    long retryDelayMillis,
    int maxClockDriftPercent) {

  /** Values for a small site. */
  public static final ScopeSettings DEFAULT =
      new ScopeSettings(10_000, 2_000, 1_000, 400, 8_000, 4_500, 4_000, 6_000, 200, 2);

  /**
   * Returns a copy with the times that workers keep to.
   *
   * @since 0.2
   */
  public ScopeSettings withWorkerTimes(long lease, long stopTimeout) {
    return new ScopeSettings(
        lease,
        startWindowMillis,
        pollWaitMillis,
        stopTimeout,
        silentRenewalMillis,
        silenceTimeoutMillis,
        stallTimeoutMillis,
        quarantineMillis,
        retryDelayMillis,
        maxClockDriftPercent);
  }

  /**
   * Returns a copy with another time after which a silent worker gets nothing new.
   *
   * @since 0.2
   */
  public ScopeSettings withSilenceTimeoutMillis(long silence) {
    return new ScopeSettings(
        leaseMillis,
        startWindowMillis,
        pollWaitMillis,
        stopTimeoutMillis,
        silentRenewalMillis,
        silence,
        stallTimeoutMillis,
        quarantineMillis,
        retryDelayMillis,
        maxClockDriftPercent);
  }
}
