package org.primrosegauge.operator;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.RegionId;
import org.primrosegauge.core.site.FailureDomain;

/**
 * Workers that are expected in a failure domain, all of one kind. What is not set is refused as out
 * of range when the site is built. One use by one thread.
 *
 * @since 0.1
 */
public final class DomainParts {

  private static final long MIB_PER_GIB = 1_024;

  private final FailureDomainId id;
  private final RegionId region;
  private int workers;
  private int workersPerRack;
  private int accelerators;
  private int cores;
  private long memoryMib;

  DomainParts(FailureDomainId id, RegionId region) {
    this.id = id;
    this.region = region;
  }

  /**
   * Sets the number of workers.
   *
   * @since 0.1
   */
  public DomainParts workers(int number) {
    workers = number;
    return this;
  }

  /**
   * Sets the number of workers in one rack.
   *
   * @since 0.1
   */
  public DomainParts inRacksOf(int number) {
    workersPerRack = number;
    return this;
  }

  /**
   * Sets the accelerators of one worker.
   *
   * @since 0.1
   */
  public DomainParts withAccelerators(int number) {
    accelerators = number;
    return this;
  }

  /**
   * Sets the processor cores of one worker.
   *
   * @since 0.1
   */
  public DomainParts withCores(int number) {
    cores = number;
    return this;
  }

  /**
   * Sets the memory of one worker, in GiB.
   *
   * @since 0.1
   */
  public DomainParts withMemoryGib(int gib) {
    memoryMib = gib * MIB_PER_GIB;
    return this;
  }

  FailureDomain build() {
    return new FailureDomain(id, region, workers, workersPerRack, accelerators, cores, memoryMib);
  }
}
