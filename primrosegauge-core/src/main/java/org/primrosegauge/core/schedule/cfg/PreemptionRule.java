package org.primrosegauge.core.schedule.cfg;

/**
 * Decides whether a waiting job may take capacity from one that runs beyond its customer's
 * guarantee. Claims of guarantees and urgent jobs do not ask.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface PreemptionRule {

  /** Order alone never preempts. */
  PreemptionRule NEVER = (waiting, running) -> false;

  /**
   * Tells whether one job may preempt another.
   *
   * @since 0.1
   */
  boolean mayPreempt(QueuedJob waiting, QueuedJob running);

  /**
   * Returns the rule that a job preempts jobs of a higher rank in an order.
   *
   * @since 0.1
   */
  static PreemptionRule byRank(QueueOrder order) {
    return (waiting, running) -> order.rank(waiting) < order.rank(running);
  }
}
