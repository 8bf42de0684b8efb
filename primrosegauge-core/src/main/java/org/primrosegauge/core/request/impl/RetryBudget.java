package org.primrosegauge.core.request.impl;

/**
 * Token bucket that bounds retries to a part of the first tries, so that a storm of failures cannot
 * multiply the load. A retry costs one token and each first try earns a part of one.
 *
 * <p>A service with little traffic would never earn a retry, so one is also allowed after a quiet
 * time.
 *
 * @since 0.1
 */
public final class RetryBudget {

  private static final long QUIET_MILLIS = 10_000;
  private static final double PERCENT = 100;

  /** Part of the configured rate that is earned; the rest pays for the reserve. */
  private static final double EARNED_PART = 0.9;

  private final int reserve;
  private double tokens;
  private double earnedPerTry;
  private long lastRetryMillis;

  /**
   * Creates a full bucket.
   *
   * @param retryPercent retries allowed per 100 first tries
   * @param reserve most tokens
   * @param nowMillis present
   */
  public RetryBudget(int retryPercent, int reserve, long nowMillis) {
    this.reserve = reserve;
    tokens = reserve;
    lastRetryMillis = nowMillis;
    changeRate(retryPercent);
  }

  /** Changes the rate; tokens stay. */
  public void changeRate(int retryPercent) {
    earnedPerTry = EARNED_PART * retryPercent / PERCENT;
  }

  /** Notes the first try of a request. */
  public void noteFirstTry() {
    tokens = Math.min(reserve, tokens + earnedPerTry);
  }

  /** Takes a token if there is one. */
  public boolean tryRetry(long nowMillis) {
    if (tokens >= 1) {
      tokens--;
    } else if (nowMillis - lastRetryMillis < QUIET_MILLIS || earnedPerTry <= 0) {
      return false;
    }
    lastRetryMillis = nowMillis;
    return true;
  }
}
