package org.primrosegauge.core.job;

/**
 * Amounts of CPU, memory and accelerators.
 *
 * @param milliCores CPU, in thousandths of a core
 * @param memoryMib memory, in MiB
 * @param accelerators number of whole accelerators
 * @since 0.1
 */
public record Resources(long milliCores, long memoryMib, int accelerators) {

  /** No resources. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /**
   * Maximum amounts of one task or worker, bounded so that sums over many of them do not overflow.
   */
  public static final Resources MAX = new Resources(1_000_000_000L, 1_000_000_000L, 10_000);

  /** Checks that no amount is negative. */
  public Resources {
    if (milliCores < 0 || memoryMib < 0 || accelerators < 0) {
      throw new IllegalArgumentException(
          "resources must not be negative: milliCores "
              + milliCores
              + ", memoryMib "
              + memoryMib
              + ", accelerators "
              + accelerators);
    }
  }

  /**
   * Returns the sum of both amounts.
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
   * Returns these amounts less the others.
   *
   * @throws IllegalArgumentException when any of the other amounts is larger
   * @since 0.1
   */
  public Resources minus(Resources other) {
    return new Resources(
        milliCores - other.milliCores,
        memoryMib - other.memoryMib,
        accelerators - other.accelerators);
  }

  /**
   * Tells whether none of these amounts exceeds the free one.
   *
   * @since 0.1
   */
  public boolean fitsIn(Resources free) {
    return milliCores <= free.milliCores
        && memoryMib <= free.memoryMib
        && accelerators <= free.accelerators;
  }
}
