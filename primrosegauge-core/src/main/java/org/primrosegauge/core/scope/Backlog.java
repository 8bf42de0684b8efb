package org.primrosegauge.core.scope;

/**
 * Running total of the estimated work of pending tasks.
 *
 * <p>Not thread-safe.
 */
final class Backlog {

  private long tasks;
  private double acceleratorMillis;
  private double milliCoreMillis;

  double acceleratorMillis() {
    return acceleratorMillis;
  }

  double milliCoreMillis() {
    return milliCoreMillis;
  }

  /** Adds a number of pending tasks of a step; a negative number removes them. */
  void adjust(StepSpec spec, int delta) {
    if (spec.longRunning()) {
      // Long-running tasks have no estimated end, so they do not count as work.
      return;
    }
    tasks += delta;
    double millis = (double) delta * spec.estimatedMillis();
    acceleratorMillis += millis * spec.task().accelerators();
    milliCoreMillis += millis * spec.task().milliCores();
    if (tasks == 0) {
      // Clears the rounding errors of sums beyond the range in which a double is exact.
      acceleratorMillis = 0;
      milliCoreMillis = 0;
    }
  }
}
