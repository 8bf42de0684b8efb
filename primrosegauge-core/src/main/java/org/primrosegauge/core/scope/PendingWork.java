package org.primrosegauge.core.scope;

/**
 * Estimated work of tasks that wait to be started.
 *
 * @param acceleratorMillis estimated run times, in milliseconds, times accelerators
 * @param milliCoreMillis estimated run times, in milliseconds, times thousandths of a core
 * @since 0.3
 */
public record PendingWork(double acceleratorMillis, double milliCoreMillis) {

  /** Nothing waits. */
  public static final PendingWork NONE = new PendingWork(0, 0);

  /**
   * Returns the sum of two.
   *
   * @since 0.3
   */
  public PendingWork plus(PendingWork other) {
    return new PendingWork(
        acceleratorMillis + other.acceleratorMillis, milliCoreMillis + other.milliCoreMillis);
  }
}
