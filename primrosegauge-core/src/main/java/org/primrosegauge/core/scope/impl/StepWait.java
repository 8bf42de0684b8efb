package org.primrosegauge.core.scope.impl;

import java.util.function.BooleanSupplier;

/**
 * Waiting time of a step, and cached results about its placement.
 *
 * <p>Not thread-safe. Lives as long as the step waits in one term.
 */
final class StepWait {

  private long sinceMillis;
  private long localVersion = -1;
  private boolean canBeLocal;

  StepWait(long sinceMillis) {
    this.sinceMillis = sinceMillis;
  }

  /** Restarts the waiting time after some of the step's tasks were placed. */
  void restart(long nowMillis) {
    sinceMillis = nowMillis;
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
