package org.primrosegauge.core.schedule.cfg;

/**
 * Decides whether a job may start before an earlier one that has to wait.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface BackfillRule {

  /** No job passes an earlier one. */
  BackfillRule NEVER = (job, nowMillis, shadowMillis) -> false;

  /** Every job that fits passes. */
  BackfillRule ALWAYS = (job, nowMillis, shadowMillis) -> true;

  /** A job passes when it declares to end before the earlier one can start. */
  BackfillRule BEFORE_SHADOW =
      (job, nowMillis, shadowMillis) ->
          job.declaredMillis() > 0 && nowMillis + job.declaredMillis() <= shadowMillis;

  /**
   * Tells whether a job may pass.
   *
   * @param job job that fits now
   * @param nowMillis present time
   * @param shadowMillis time at which the first waiting job is expected to start
   * @since 0.1
   */
  boolean mayPass(QueuedJob job, long nowMillis, long shadowMillis);
}
