package org.primrosegauge.core.job.cfg;

/**
 * Settings of the job ledger.
 *
 * @param answerMillis how long a final answer is kept, in milliseconds
 * @param retryMillis time after which a record that was not acknowledged is sent again, in
 *     milliseconds
 * @param batch most records sent again at once
 * @since 0.1
 */
public record LedgerSettings(long outcomeRetentionMillis, long retryMillis, int maxBatchSize) {

  /** Settings used where none are given. */
  public static final LedgerSettings DEFAULT = new LedgerSettings(24 * 3_600_000L, 1_000, 256);

  /** Checks the ranges. */
  public LedgerSettings {
    if (outcomeRetentionMillis < 1 || retryMillis < 1 || maxBatchSize < 1) {
      throw new IllegalArgumentException(
          "answers kept "
              + outcomeRetentionMillis
              + " ms, retry "
              + retryMillis
              + " ms, batch "
              + maxBatchSize);
    }
  }
}
