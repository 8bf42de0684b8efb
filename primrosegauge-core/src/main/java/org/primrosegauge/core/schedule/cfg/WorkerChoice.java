package org.primrosegauge.core.schedule.cfg;

/**
 * Ranks workers for the tasks of a gang; the lowest cost is used first, and equal costs go by id.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface WorkerChoice {

  /** Larger than the tasks that fit in any worker or rack. */
  long WHOLE = 1L << 20;

  /** Any worker with room, by id. */
  WorkerChoice FIRST_FIT = (slots, wanted, rackSlots) -> 0;

  /** The worker with the least room left over; whole workers for large gangs. */
  WorkerChoice BEST_FIT =
      (slots, wanted, rackSlots) -> slots >= wanted ? slots - wanted : WHOLE - slots;

  /**
   * Best fit in cells (after HiveD, OSDI 2020): small gangs go into workers already broken into and
   * into the fullest racks, so that whole workers and racks stay free for large gangs.
   */
  WorkerChoice CELL =
      (slots, wanted, rackSlots) -> BEST_FIT.cost(slots, wanted, rackSlots) * WHOLE + rackSlots;

  /**
   * Returns the cost of a worker.
   *
   * @param slots tasks of the gang that the worker has room for
   * @param wanted tasks still to be placed
   * @param rackSlots tasks of the gang that the worker's rack has room for
   * @since 0.1
   */
  long cost(int slots, int wanted, int rackSlots);
}
