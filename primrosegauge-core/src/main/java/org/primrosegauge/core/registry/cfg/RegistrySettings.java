package org.primrosegauge.core.registry.cfg;

/**
 * Bounds on what the registry keeps. All replicas must have equal settings, because what is dropped
 * follows from them. Immutable.
 *
 * @param answerMillis how long the answer to an operator's request id is kept, in log time
 * @param maxAnswers most such answers kept; the oldest go first
 * @param maxHistory most entries of the configuration's history kept; the oldest go first
 * @param finalJobMillis how long a final job record is kept, in log time
 * @param maxClaims most claims kept at once; more are refused
 * @param maxJobs most job records kept at once; more are refused
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

  /** Settings that suit 1,900 changes and 5,700 jobs a day. */
  public static final RegistrySettings DEFAULT =
      new RegistrySettings(7 * DAY_MILLIS, 20_000, 1_000, DAY_MILLIS, 50_000, 20_000);

  /** Checks the ranges. */
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
   * Returns a copy with other bounds on answers and history.
   *
   * @since 0.1
   */
  public RegistrySettings withResultLimits(long millis, int answers, int history) {
    return new RegistrySettings(
        millis, answers, history, finalJobRetentionMillis, maxClaims, maxJobs);
  }

  /**
   * Returns a copy with other bounds on claims and jobs.
   *
   * @since 0.1
   */
  public RegistrySettings withRecordLimits(long finalMillis, int claims, int jobs) {
    return new RegistrySettings(
        resultRetentionMillis, maxResults, maxHistory, finalMillis, claims, jobs);
  }
}
