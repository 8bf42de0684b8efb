package org.primrosegauge.core.scope.cfg;

import java.util.Collection;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;

/**
 * Settings of the scope scheduler. Immutable; all times in milliseconds.
 *
 * @param leaseMillis duration of the lease that each poll of a worker renews
 * @param startWindowMillis time after a placement within which the worker may still start the run
 * @param pollWaitMillis maximum time for which a worker delays its response to a poll while it
 *     waits for a run to end
 * @param stopTimeoutMillis maximum time that a worker takes to stop a task
 * @param silentRenewalMillis time since a worker's last response until which its lease is kept
 *     alive even if the lease is shorter: polls may still reach it although its responses are lost
 * @param silenceTimeoutMillis time since a worker was last heard from after which no new runs are
 *     placed on it
 * @param stallTimeoutMillis time without progress after which a run is restarted elsewhere
 * @param quarantineMillis time for which no new runs are placed on a worker that failed repeatedly
 * @param retryDelayMillis delay before a step is placed again after a worker rejected its start
 * @param maxClockDriftPercent maximum amount by which a worker's clock may run slow, in percent
 * @param features mechanisms that are switched on
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
    int maxClockDriftPercent,
    Set<ScopeFeature> features) {

  /** Defaults for a small site. */
  public static final ScopeSettings DEFAULT =
      new ScopeSettings(
          10_000,
          2_000,
          1_000,
          400,
          8_000,
          4_500,
          4_000,
          6_000,
          200,
          2,
          EnumSet.allOf(ScopeFeature.class));

  /** Copies the set of features. */
  public ScopeSettings {
    features = Set.copyOf(features);
  }

  /**
   * Returns whether a mechanism is switched on.
   *
   * @since 0.4
   */
  public boolean isEnabled(ScopeFeature feature) {
    return features.contains(feature);
  }

  /**
   * Returns a copy in which some mechanisms are switched off.
   *
   * @since 0.4
   */
  public ScopeSettings without(Collection<ScopeFeature> disabled) {
    Set<ScopeFeature> remaining = new HashSet<>(features);
    remaining.removeAll(disabled);
    return new ScopeSettings(
        leaseMillis,
        startWindowMillis,
        pollWaitMillis,
        stopTimeoutMillis,
        silentRenewalMillis,
        silenceTimeoutMillis,
        stallTimeoutMillis,
        quarantineMillis,
        retryDelayMillis,
        maxClockDriftPercent,
        remaining);
  }

  /**
   * Returns a copy with other values for the times that workers have to observe.
   *
   * @param newLeaseMillis duration of a lease, in milliseconds
   * @param newStopTimeoutMillis maximum time to stop a task, in milliseconds
   * @since 0.2
   */
  public ScopeSettings withWorkerTimes(long newLeaseMillis, long newStopTimeoutMillis) {
    return new ScopeSettings(
        newLeaseMillis,
        startWindowMillis,
        pollWaitMillis,
        newStopTimeoutMillis,
        silentRenewalMillis,
        silenceTimeoutMillis,
        stallTimeoutMillis,
        quarantineMillis,
        retryDelayMillis,
        maxClockDriftPercent,
        features);
  }

  /**
   * Returns a copy with another time-out after which no new runs are placed on a silent worker.
   *
   * @param newTimeoutMillis time-out, in milliseconds
   * @since 0.2
   */
  public ScopeSettings withSilenceTimeoutMillis(long newTimeoutMillis) {
    return new ScopeSettings(
        leaseMillis,
        startWindowMillis,
        pollWaitMillis,
        stopTimeoutMillis,
        silentRenewalMillis,
        newTimeoutMillis,
        stallTimeoutMillis,
        quarantineMillis,
        retryDelayMillis,
        maxClockDriftPercent,
        features);
  }
}
