package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.List;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;

/**
 * Remembers for a moment for what no room could be made, so that the same, or more, isn't tried
 * again at once for each of many demands that wait.
 *
 * <p>Not thread-safe.
 */
final class PreemptionFailureCache {

  /** Time for which a failed attempt is remembered, in milliseconds. */
  private static final long TTL_MILLIS = 100;

  /** Most failures that are remembered. */
  private static final int MAX_ENTRIES = 64;

  /**
   * What demands have in common that may get room on the same workers from the same runs.
   *
   * @param claimant customer whose guarantee the demand is within; null beyond it
   */
  record DemandShape(
      ServiceId pool,
      String label,
      String dataRack,
      boolean isNear,
      int maxPerWorker,
      CustomerId claimant) {}

  /**
   * An attempt that failed.
   *
   * @param count tasks for which there was no room
   * @param cost what room would have cost, in core-seconds; infinite when there was none
   */
  private record Failure(
      DemandShape shape, Resources task, int count, double cost, long untilMillis) {

    boolean covers(DemandShape other, Demand demand, double mostLost) {
      return shape.equals(other)
          && demand.tasks().size() >= count
          && task.fitsIn(demand.spec().task())
          && cost > mostLost;
    }
  }

  private final ScopeState state;
  private final List<Failure> failures = new ArrayList<>();
  private boolean hasSkipped;

  PreemptionFailureCache(ScopeState state) {
    this.state = state;
  }

  static DemandShape shapeOf(Demand demand, boolean isNear, CustomerId claimant) {
    return new DemandShape(
        demand.job().job().pool(),
        demand.spec().requiredLabel(),
        demand.spec().dataRack(),
        isNear,
        demand.spec().maxPerWorker(),
        claimant);
  }

  /** Forgets all. */
  void clear() {
    failures.clear();
  }

  /**
   * Tells whether an attempt for a demand is bound to fail.
   *
   * @param mostLost most that room may cost, in core-seconds
   */
  boolean isKnownFailure(DemandShape shape, Demand demand, double mostLost, long nowMillis) {
    failures.removeIf(failure -> failure.untilMillis() <= nowMillis);
    state.examined(failures.size());
    boolean isKnown =
        failures.stream().anyMatch(failure -> failure.covers(shape, demand, mostLost));
    hasSkipped |= isKnown;
    return isKnown;
  }

  /** Notes that there was no room for a number of tasks, whatever it costs. */
  void recordInfeasible(DemandShape shape, Demand demand, int count, long nowMillis) {
    addFailure(shape, demand, count, Double.POSITIVE_INFINITY, nowMillis);
  }

  /** Notes what room for all tasks of a demand would have cost, in core-seconds. */
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

  /** Returns when attempts that were left out are due; the largest value when none was. */
  long nextRetryMillis(long nowMillis) {
    if (!hasSkipped) {
      return Long.MAX_VALUE;
    }
    hasSkipped = false;
    return nowMillis + TTL_MILLIS;
  }
}
