package org.primrosegauge.core.registry.cfg;

/**
 * Limits and retention periods of the registry. All replicas must have equal settings, because the
 * settings determine which entries are removed and thereby the replicated state. Immutable.
 *
 * @param resultRetentionMillis how long the result of an operator's command is kept, in
 *     milliseconds of log time
 * @param maxResults maximum number of such results; the oldest are removed first
 * @param maxHistory maximum number of entries in the configuration history; the oldest are removed
 *     first
 * @param finalJobRetentionMillis how long a final job record is kept, in milliseconds of log time
 * @param maxClaims maximum number of claims; further ones are rejected
 * @param maxJobs maximum number of job records; further jobs are rejected
 * @since 0.1
 */
public record RegistrySettings(
    long resultRetentionMillis,
    int maxResults,
    int maxHistory,
    long finalJobRetentionMillis,
    int maxClaims,
    int maxJobs) {

  private static final long DAY_MILLIS = 24L * 60 * 60 * 1000;

  /** Default settings, sized for 1,900 configuration changes and 5,700 jobs a day. */
  public static final RegistrySettings DEFAULT =
      new RegistrySettings(7 * DAY_MILLIS, 20_000, 1_000, DAY_MILLIS, 50_000, 20_000);

  /** Checks that all settings are positive. */
  public RegistrySettings {
    boolean isValid =
        resultRetentionMillis > 0
            && maxResults > 0
            && maxHistory > 0
            && finalJobRetentionMillis > 0
            && maxClaims > 0
            && maxJobs > 0;
    if (!isValid) {
      throw new IllegalArgumentException("registry settings must be positive");
    }
  }

  /**
   * Returns a copy with other limits on recorded results and history.
   *
   * @since 0.1
   */
  public RegistrySettings withResultLimits(long retentionMillis, int results, int history) {
    return new RegistrySettings(
        retentionMillis, results, history, finalJobRetentionMillis, maxClaims, maxJobs);
  }

  /**
   * Returns a copy with other limits on claims and jobs.
   *
   * @since 0.1
   */
  public RegistrySettings withRecordLimits(long finalRetentionMillis, int claims, int jobs) {
    return new RegistrySettings(
        resultRetentionMillis, maxResults, maxHistory, finalRetentionMillis, claims, jobs);
  }
}
