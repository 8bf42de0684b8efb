package org.primrosegauge.core.job;

/**
 * Amounts of processor, memory and accelerators.
 *
 * @param milliCores processor, in thousandths of a core
 * @param memoryMib memory, in MiB
 * @param accelerators whole accelerators
 * @since 0.1
 */
public record Resources(long milliCores, long memoryMib, int accelerators) {

  /** No resources. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Most of each amount that one task or worker may have, so that sums over many stay exact. */
  public static final Resources MAX = new Resources(1_000_000_000L, 1_000_000_000L, 10_000);

  /** Checks the ranges. */
  public Resources {
    if (milliCores < 0 || memoryMib < 0 || accelerators < 0) {
      throw new IllegalArgumentException(
          "negative resources " + milliCores + ", " + memoryMib + ", " + accelerators);
    }
  }

  /**
   * Returns the sum.
   *
   * @since 0.1
   */
  public Resources plus(Resources other) {
    return new Resources(
        milliCores + other.milliCores,
        memoryMib + other.memoryMib,
        accelerators + other.accelerators);
  }

  /**
   * Returns the difference.
   *
   * @throws IllegalArgumentException when the other is larger in any amount
   * @since 0.1
   */
  public Resources minus(Resources other) {
    return new Resources(
        milliCores - other.milliCores,
        memoryMib - other.memoryMib,
        accelerators - other.accelerators);
  }

  /**
   * Tells whether these amounts fit into others.
   *
   * @since 0.1
   */
  public boolean fitsIn(Resources free) {
    return milliCores <= free.milliCores
        && memoryMib <= free.memoryMib
        && accelerators <= free.accelerators;
  }
}
