package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.ScopeEvent;
import org.primrosegauge.core.scope.ScopeEvent.Kind;

/**
 * Keeps capacity for urgent steps while the runs that are preempted for them stop, and places the
 * steps once they have.
 *
 * <p>Not thread-safe.
 */
final class PreemptionReservations {

  private final ScopeState state;
  private final RunLifecycle lifecycle;
  private final WorkerConfirmations confirmations;
  private final Placer placer;

  PreemptionReservations(
      ScopeState state, RunLifecycle lifecycle, WorkerConfirmations confirmations, Placer placer) {
    this.state = state;
    this.lifecycle = lifecycle;
    this.confirmations = confirmations;
    this.placer = placer;
  }

  /**
   * Reserves the workers and stops the runs that are in the way.
   *
   * @return whether it was done; it is not while a worker involved is not confirmed
   */
  boolean start(Reservation reservation, ClockReading now) {
    Demand demand = reservation.demand();
    List<WorkerSession> involved = new ArrayList<>(reservation.workers());
    reservation.victims().stream()
        .map(state.runs::get)
        .filter(Objects::nonNull)
        .forEach(run -> involved.add(run.worker));
    if (!confirmations.confirmAll(demand, involved, now.monotonicMillis())) {
      return false;
    }
    reservation.workers().forEach(worker -> worker.reserve(demand.spec().task()));
    state.reservations.put(demand.key(), reservation);
    state.report(
        ScopeEvent.of(Kind.PREEMPTING, demand.key(), "victims=" + reservation.victims().size()));
    for (RunId victim : reservation.victims()) {
      RunState run = state.runs.get(victim);
      if (run != null) {
        lifecycle.stop(run, "preempted by " + demand.key().job(), now);
      }
    }
    return true;
  }

  /**
   * Places the steps whose reserved capacity is free, and releases the reservations that are over.
   *
   * @param isOverdue whether a step has waited long enough for a better placement
   */
  void settle(PlacementBatch batch, Predicate<Demand> isOverdue, ClockReading now) {
    for (Reservation reservation : List.copyOf(state.reservations.values())) {
      boolean isFree =
          reservation.victims().stream().noneMatch(victim -> state.runs.containsKey(victim));
      boolean isExpired =
          now.monotonicMillis() >= reservation.untilMillis()
              || reservation.isLocal() && isOverdue.test(reservation.demand());
      if (isFree || isExpired || isObsolete(reservation)) {
        release(reservation);
        if (isFree && !isObsolete(reservation)) {
          place(reservation, batch, now);
        }
      }
    }
  }

  private void release(Reservation reservation) {
    Demand demand = reservation.demand();
    reservation.workers().forEach(worker -> worker.release(demand.spec().task()));
    state.reservations.remove(demand.key());
  }

  private static boolean isObsolete(Reservation reservation) {
    return reservation.demand().job().status().isFinal();
  }

  private void place(Reservation reservation, PlacementBatch batch, ClockReading now) {
    Demand demand = reservation.demand();
    List<WorkerSession> workers = reservation.workers();
    state.examined(workers.size());
    boolean isIntact =
        workers.stream().allMatch(worker -> placer.isUsable(worker, demand, now.monotonicMillis()));
    if (isIntact) {
      batch.placeFitting(demand, workers, now);
    }
  }
}
