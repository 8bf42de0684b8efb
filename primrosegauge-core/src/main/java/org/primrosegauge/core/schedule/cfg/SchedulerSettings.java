package org.primrosegauge.core.schedule.cfg;

/**
 * Times and limits of a domain's scheduler. Immutable.
 *
 * @param reserveLeaseMillis time for which a worker holds a reservation, in milliseconds; longer
 *     than the lease of a lost keeper, the rebuild of its successor and a start together
 * @param reserveTimeoutMillis time within which every worker answers a reservation, in milliseconds
 * @param startTimeoutMillis time within which every worker answers a start, in milliseconds
 * @param checkpointMillis time given to a checkpoint before the task is stopped, in milliseconds
 * @param stopResendMillis time after which an unanswered stop is sent again, in milliseconds
 * @param rebuildMillis time for which a new keeper waits for the workers, in milliseconds
 * @param retryBackoffMillis wait before the next try after a failure, in milliseconds
 * @param asideMillis time for which a suspect worker gets no work before it is probed, in
 *     milliseconds
 * @param waitBoundMillis wait after which a job comes before all others, in milliseconds
 * @param quantumMillis least run time before a gang may be preempted for order or moved, in
 *     milliseconds
 * @param preemptionsPerHour gangs an hour that may be preempted for order or moved
 * @param maxTaskFailures failures of its own tasks after which a job is given up
 * @param maxLosses losses of workers or tasks after which a job is given up
 * @param maxRefusals refused or unanswered reservations and starts after which a job is given up
 * @param suspectJobs different jobs failing in a row after which a worker is set aside
 * @param maxPlacementTries placements computed in one pass over the queue
 * @since 0.1
 */
public record SchedulerSettings(
    long reserveLeaseMillis,
    long reserveTimeoutMillis,
    long startTimeoutMillis,
    long checkpointMillis,
    long stopResendMillis,
    long rebuildMillis,
    long retryBackoffMillis,
    long asideMillis,
    long waitBoundMillis,
    long quantumMillis,
    int preemptionsPerHour,
    int maxTaskFailures,
    int maxLosses,
    int maxRefusals,
    int suspectJobs,
    int maxPlacementTries) {

  /**
   * Settings used unless the operator states others. A reservation outlives a change of keeper:
   * lease of the lost keeper 3 s, election and acquisition 2 s, rebuild 5 s, start 1.5 s make 11.5
   * s; the rest is margin for elections that are repeated and longer leases.
   */
  public static final SchedulerSettings DEFAULTS =
      new SchedulerSettings(
          30_000, 1_000, 1_500, 3_000, 1_000, 5_000, 1_000, 60_000, 1_800_000, 300_000, 120, 3, 20,
          50, 3, 8);

  /** Checks the relations between the times. */
  public SchedulerSettings {
    if (reserveTimeoutMillis >= reserveLeaseMillis) {
      throw new IllegalArgumentException("reservation times out after its lease");
    }
    if (rebuildMillis + startTimeoutMillis >= reserveLeaseMillis) {
      throw new IllegalArgumentException(
          "reservation ends before a new keeper can complete a start");
    }
    if (maxPlacementTries < 1 || suspectJobs < 1) {
      throw new IllegalArgumentException("limits below 1");
    }
  }
}
