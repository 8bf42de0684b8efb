package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.List;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;

/**
 * Caches preemption attempts that failed, so that the same or a larger request is not tried again
 * at once for each of many waiting demands.
 *
 * <p>Not thread-safe.
 */
final class PreemptionFailureCache {

  /** Time for which a failed attempt is cached, in milliseconds. */
  private static final long TTL_MILLIS = 100;

  /** Largest number of cached failures. */
  private static final int MAX_ENTRIES = 64;

  /**
   * Properties that demands must share to be eligible for the same workers and the same victims.
   *
   * @param claimant customer whose guarantee covers the demand; null if it exceeds the guarantee
   */
  record DemandShape(
      ServiceId pool,
      String label,
      String dataRack,
      boolean isLocal,
      int maxPerWorker,
      CustomerId claimant) {}

  /**
   * A failed attempt.
   *
   * @param count number of tasks for which there was no capacity
   * @param cost what the capacity would have cost, in core-seconds; infinite if it could not be
   *     freed at all
   */
  private record Failure(
      DemandShape shape, Resources task, int count, double cost, long untilMillis) {

    boolean covers(DemandShape other, Demand demand, double maxCost) {
      return shape.equals(other)
          && demand.tasks().size() >= count
          && task.fitsIn(demand.spec().task())
          && cost > maxCost;
    }
  }

  private final ScopeState state;
  private final List<Failure> failures = new ArrayList<>();
  private boolean hasSkipped;

  PreemptionFailureCache(ScopeState state) {
    this.state = state;
  }

  static DemandShape shapeOf(Demand demand, boolean isLocal, CustomerId claimant) {
    return new DemandShape(
        demand.job().job().pool(),
        demand.spec().requiredLabel(),
        demand.spec().dataRack(),
        isLocal,
        demand.spec().maxPerWorker(),
        claimant);
  }

  /** Drops all cached failures. */
  void clear() {
    failures.clear();
  }

  /**
   * Tells whether an attempt for a demand is known to fail.
   *
   * @param maxCost highest cost that is acceptable, in core-seconds
   */
  boolean isKnownFailure(DemandShape shape, Demand demand, double maxCost, long nowMillis) {
    failures.removeIf(failure -> failure.untilMillis() <= nowMillis);
    state.examined(failures.size());
    boolean isKnownFailure =
        failures.stream().anyMatch(failure -> failure.covers(shape, demand, maxCost));
    hasSkipped |= isKnownFailure;
    return isKnownFailure;
  }

  /** Caches that no capacity can be freed for a number of tasks at any cost. */
  void recordInfeasible(DemandShape shape, Demand demand, int count, long nowMillis) {
    addFailure(shape, demand, count, Double.POSITIVE_INFINITY, nowMillis);
  }

  /**
   * Caches the cost of freeing capacity for all tasks of a demand, in core-seconds, which was too
   * high.
   */
  void recordTooExpensive(DemandShape shape, Demand demand, double cost, long nowMillis) {
    addFailure(shape, demand, demand.tasks().size(), cost, nowMillis);
  }

  private void addFailure(
      DemandShape shape, Demand demand, int count, double cost, long nowMillis) {
    if (failures.size() < MAX_ENTRIES) {
      Resources task = demand.spec().task();
      failures.add(new Failure(shape, task, count, cost, nowMillis + TTL_MILLIS));
    }
  }

  /**
   * Returns the monotonic time at which skipped attempts are to be retried, in milliseconds; {@link
   * Long#MAX_VALUE} if none was skipped since the last call.
   */
  long nextRetryMillis(long nowMillis) {
    if (!hasSkipped) {
      return Long.MAX_VALUE;
    }
    hasSkipped = false;
    return nowMillis + TTL_MILLIS;
  }
}
