package org.primrosegauge.core.scope.impl;

import java.util.function.BooleanSupplier;

/**
 * Waiting time of a step, and cached results about its placement.
 *
 * <p>Not thread-safe. Lives as long as the step waits in one term.
 */
final class StepWait {

  /** Waits shorter than this are not reported, in milliseconds. */
  private static final long MIN_REPORTED_MILLIS = 250;

  /** Least time between two reports for one step, in milliseconds. */
  private static final long REPORT_INTERVAL_MILLIS = 500;

  private long sinceMillis;
  private WaitReason reportedReason;
  private long reportedMillis = Long.MIN_VALUE / 2;
  private long localVersion = -1;
  private boolean canBeLocal;

  StepWait(long sinceMillis) {
    this.sinceMillis = sinceMillis;
  }

  /** Restarts the waiting time after some of the step's tasks were placed. */
  void restart(long nowMillis) {
    sinceMillis = nowMillis;
    reportedReason = null;
  }

  /**
   * Tells whether the reason of the wait is due to be reported: the step has waited for a while,
   * and it is new.
   */
  boolean isReportDue(WaitReason reason, long nowMillis) {
    return reason != reportedReason
        && nowMillis - sinceMillis >= MIN_REPORTED_MILLIS
        && nowMillis - reportedMillis >= REPORT_INTERVAL_MILLIS;
  }

  /** Records that the reason of the wait was reported. */
  void recordReport(WaitReason reason, long nowMillis) {
    reportedReason = reason;
    reportedMillis = nowMillis;
  }

  long sinceMillis() {
    return sinceMillis;
  }

  /**
   * Returns whether the locality preference of the step could be satisfied on empty workers.
   *
   * @param version version of the set of workers; the result is cached while it stays the same
   */
  boolean canBeLocal(long version, BooleanSupplier check) {
    if (localVersion != version) {
      localVersion = version;
      canBeLocal = check.getAsBoolean();
    }
    return canBeLocal;
  }
}
