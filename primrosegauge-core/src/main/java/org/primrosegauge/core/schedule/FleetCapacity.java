package org.primrosegauge.core.schedule;

/**
 * Accelerators of a domain and how scattered the free ones are.
 *
 * @param accelerators accelerators of all workers present
 * @param free accelerators that no task holds
 * @param largestGang accelerators of the largest gang of whole-worker tasks that could start now
 * @since 0.1
 */
public record FleetCapacity(int accelerators, int free, int largestGang) {

  /** Largest gang that fragmentation is measured by, in accelerators. */
  public static final int MEASURED_GANG = 256;

  /**
   * Returns the share of the free accelerators that the largest gang cannot use, from 0 to 1. Free
   * accelerators beyond {@value #MEASURED_GANG} do not count.
   *
   * @since 0.1
   */
  public double fragmentation() {
    int bounded = Math.min(free, MEASURED_GANG);
    return bounded == 0 ? 0 : 1 - (double) Math.min(largestGang, bounded) / bounded;
  }
}
