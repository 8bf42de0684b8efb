package org.primrosegauge.core.scope;

/**
 * Work of the tasks that wait to be started, kept up as they start, end and wait again.
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

  /** Notes that more tasks of a step wait, or fewer. */
  void adjust(StepSpec spec, int more) {
    if (spec.longRunning()) {
      // It has no end to wait for.
      return;
    }
    tasks += more;
    double millis = (double) more * spec.estimatedMillis();
    acceleratorMillis += millis * spec.task().accelerators();
    milliCoreMillis += millis * spec.task().milliCores();
    if (tasks == 0) {
      // Sums beyond the exact range of a double leave a rest.
      acceleratorMillis = 0;
      milliCoreMillis = 0;
    }
  }
}
