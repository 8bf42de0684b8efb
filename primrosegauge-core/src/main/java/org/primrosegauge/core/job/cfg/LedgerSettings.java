package org.primrosegauge.core.job.cfg;

/**
 * Settings of the job ledger.
 *
 * @param outcomeRetentionMillis how long a final outcome is kept, in milliseconds
 * @param retryMillis time after which an unacknowledged record is resent, in milliseconds
 * @param maxBatchSize maximum number of actions that one {@code tick} collects before it stops
 *     resending records
 * @since 0.1
 */
public record LedgerSettings(long outcomeRetentionMillis, long retryMillis, int maxBatchSize) {

  /** Default settings: outcomes kept for 24 hours, resent after 1 s, batches of 256. */
  public static final LedgerSettings DEFAULT = new LedgerSettings(24 * 3_600_000L, 1_000, 256);

  /** Checks that all settings are positive. */
  public LedgerSettings {
    if (outcomeRetentionMillis < 1 || retryMillis < 1 || maxBatchSize < 1) {
      throw new IllegalArgumentException(
          "ledger settings must be positive: answers kept "
              + outcomeRetentionMillis
              + " ms, retry interval "
              + retryMillis
              + " ms, batch size "
              + maxBatchSize);
    }
  }
}
