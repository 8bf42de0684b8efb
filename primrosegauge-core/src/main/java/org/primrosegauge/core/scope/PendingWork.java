package org.primrosegauge.core.scope;

/**
 * Estimated work of tasks that are waiting to be started.
 *
 * @param acceleratorMillis sum of estimated run times in milliseconds, each multiplied by the
 *     number of accelerators
 * @param milliCoreMillis sum of estimated run times in milliseconds, each multiplied by the number
 *     of thousandths of a core
 * @since 0.3
 */
public record PendingWork(double acceleratorMillis, double milliCoreMillis) {

  /** No pending work. */
  public static final PendingWork NONE = new PendingWork(0, 0);

  /**
   * Returns the sum of this and other pending work.
   *
   * @since 0.3
   */
  public PendingWork plus(PendingWork other) {
    return new PendingWork(
        acceleratorMillis + other.acceleratorMillis, milliCoreMillis + other.milliCoreMillis);
  }
}
