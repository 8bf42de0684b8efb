package org.primrosegauge.core.schedule.cfg;

/**
 * Policy of a domain's scheduler, put together from independent rules. Immutable.
 *
 * @param order which waiting job comes first
 * @param backfill which job may pass an earlier one
 * @param choice which workers a gang gets
 * @since 0.1
 */
public record SchedulingPolicy(QueueOrder order, BackfillRule backfill, WorkerChoice choice) {

  /** First in, first out, with first fit: the baseline of all measurements. */
  public static final SchedulingPolicy FIFO_FIRST_FIT =
      new SchedulingPolicy(QueueOrder.FIFO, BackfillRule.NEVER, WorkerChoice.FIRST_FIT);

  /** Policy used unless the operator states another. */
  public static final SchedulingPolicy DEFAULT =
      new SchedulingPolicy(QueueOrder.FIFO, BackfillRule.ALWAYS, WorkerChoice.CELL);
}
