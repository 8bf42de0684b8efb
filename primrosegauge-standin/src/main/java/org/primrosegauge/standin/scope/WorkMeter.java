package org.primrosegauge.standin.scope;

import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.RunOutcome;

/**
 * Adds up the work that workers do and that is thrown away.
 *
 * <p>Not thread-safe; owned by one {@link EmulatedScope}.
 *
 * @since 0.3
 */
public final class WorkMeter {

  private static final double CORES_PER_ACCELERATOR = 8;
  private static final double MILLIS_PER_SECOND = 1_000;

  private double usefulCoreSeconds;
  private double lostCoreSeconds;
  private int stops;

  /**
   * Returns the cores that a task takes, with each accelerator counted as several.
   *
   * @since 0.3
   */
  public static double weightOf(Resources task) {
    return task.milliCores() / 1_000.0 + CORES_PER_ACCELERATOR * task.accelerators();
  }

  /**
   * Returns the work of runs that ended as done, in core-seconds.
   *
   * @since 0.3
   */
  public double usefulCoreSeconds() {
    return usefulCoreSeconds;
  }

  /**
   * Returns the work of runs that ended otherwise and had not saved it, in core-seconds.
   *
   * @since 0.3
   */
  public double lostCoreSeconds() {
    return lostCoreSeconds;
  }

  /**
   * Returns the number of runs that were stopped.
   *
   * @since 0.3
   */
  public int stops() {
    return stops;
  }

  void ended(EmulatedWorker.Run run, RunOutcome outcome) {
    double weight = weightOf(run.spec.task());
    if (outcome == RunOutcome.DONE) {
      usefulCoreSeconds += weight * run.workMillis / MILLIS_PER_SECOND;
      return;
    }
    lostCoreSeconds += weight * (run.progressMillis - run.savedMillis) / MILLIS_PER_SECOND;
    if (outcome == RunOutcome.STOPPED) {
      stops++;
    }
  }
}
