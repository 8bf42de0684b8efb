package org.primrosegauge.core.schedule.cfg;

/**
 * Policy of a domain's scheduler, put together from independent rules. Immutable.
 *
 * @param order which waiting job comes first
 * @param backfill which job may pass an earlier one
 * @param choice which workers a gang gets
 * @param preemption which running job an earlier one may preempt
 * @param boundsWait whether a job that has waited too long comes first and may preempt
 * @param defragments whether small gangs are moved when a larger one finds its capacity scattered
 * @since 0.1
 */
public record SchedulingPolicy(
    QueueOrder order,
    BackfillRule backfill,
    WorkerChoice choice,
    PreemptionRule preemption,
    boolean boundsWait,
    boolean defragments) {

  /** Service after which a job leaves the first level, in accelerator-milliseconds. */
  public static final long FIRST_LEVEL_SERVICE = 3_600_000;

  /** Run time after which a job leaves the first level, in milliseconds. */
  public static final long FIRST_LEVEL_MILLIS = 120_000;

  /** First in, first out, with first fit: the baseline of all measurements. */
  public static final SchedulingPolicy FIFO_FIRST_FIT =
      new SchedulingPolicy(
          QueueOrder.FIFO,
          BackfillRule.NEVER,
          WorkerChoice.FIRST_FIT,
          PreemptionRule.NEVER,
          false,
          false);

  /** Policy used unless the operator states another. */
  public static final SchedulingPolicy DEFAULT =
      leastRunTime(FIRST_LEVEL_MILLIS, WorkerChoice.CELL);

  /**
   * Returns least-attained-service order with preemption, bounded waits and defragmentation.
   *
   * @param firstLevel accelerator-milliseconds of the first level
   * @since 0.1
   */
  public static SchedulingPolicy leastAttained(long firstLevel, WorkerChoice choice) {
    return multiLevel(QueueOrder.leastAttained(firstLevel), choice);
  }

  /**
   * Returns the same policy by run time alone.
   *
   * @param firstLevel milliseconds of the first level
   * @since 0.1
   */
  public static SchedulingPolicy leastRunTime(long firstLevel, WorkerChoice choice) {
    return multiLevel(QueueOrder.leastRunTime(firstLevel), choice);
  }

  private static SchedulingPolicy multiLevel(QueueOrder order, WorkerChoice choice) {
    return new SchedulingPolicy(
        order, BackfillRule.ALWAYS, choice, PreemptionRule.byRank(order), true, true);
  }

  /**
   * Returns a copy with another backfill rule.
   *
   * @since 0.1
   */
  public SchedulingPolicy withBackfill(BackfillRule rule) {
    return new SchedulingPolicy(order, rule, choice, preemption, boundsWait, defragments);
  }

  /**
   * Returns a copy with another order of the queue.
   *
   * @since 0.1
   */
  public SchedulingPolicy withOrder(QueueOrder rule) {
    return new SchedulingPolicy(rule, backfill, choice, preemption, boundsWait, defragments);
  }

  /**
   * Returns a copy with another choice of workers.
   *
   * @since 0.1
   */
  public SchedulingPolicy withChoice(WorkerChoice rule) {
    return new SchedulingPolicy(order, backfill, rule, preemption, boundsWait, defragments);
  }

  /**
   * Returns a copy with another preemption rule.
   *
   * @since 0.1
   */
  public SchedulingPolicy withPreemption(PreemptionRule rule) {
    return new SchedulingPolicy(order, backfill, choice, rule, boundsWait, defragments);
  }

  /**
   * Returns a copy that bounds waits, or does not.
   *
   * @since 0.1
   */
  public SchedulingPolicy withBoundsWait(boolean bounds) {
    return new SchedulingPolicy(order, backfill, choice, preemption, bounds, defragments);
  }

  /**
   * Returns a copy that defragments, or does not.
   *
   * @since 0.1
   */
  public SchedulingPolicy withDefragments(boolean moves) {
    return new SchedulingPolicy(order, backfill, choice, preemption, boundsWait, moves);
  }
}
