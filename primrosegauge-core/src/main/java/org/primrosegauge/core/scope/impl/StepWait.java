package org.primrosegauge.core.scope.impl;

import java.util.function.BooleanSupplier;

/**
 * How long a step has been waiting for workers, and what was found out about it meanwhile.
 *
 * <p>Not thread-safe; lives as long as the step waits in one term.
 */
final class StepWait {

  private long sinceMillis;
  private long localVersion = -1;
  private boolean canBeLocal;

  StepWait(long sinceMillis) {
    this.sinceMillis = sinceMillis;
  }

  /** Notes that some of its tasks got workers. */
  void restart(long nowMillis) {
    sinceMillis = nowMillis;
  }

  long sinceMillis() {
    return sinceMillis;
  }

  /**
   * Returns whether the step fits on one near group of empty workers.
   *
   * @param version number of the set of workers; the answer is kept while it stays the same
   */
  boolean canBeLocal(long version, BooleanSupplier answer) {
    if (localVersion != version) {
      localVersion = version;
      canBeLocal = answer.getAsBoolean();
    }
    return canBeLocal;
  }
}
