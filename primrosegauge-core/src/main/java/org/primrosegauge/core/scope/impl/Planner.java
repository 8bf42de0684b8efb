package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.scope.Placement;
import org.primrosegauge.core.scope.Present;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeEvent;
import org.primrosegauge.core.scope.ScopeEvent.Kind;
import org.primrosegauge.core.scope.TaskKey;

/**
 * Gives waiting steps their workers, in order, and makes room for urgent ones.
 *
 * <p>Not thread-safe.
 */
final class Planner {

  /** Gangs that are later than this earn nothing, so nothing is kept free for them. */
  private static final int WORTH_HOLDING = 1;

  /** Wait for a near place before a far one is taken, as a share of the estimated run time. */
  private static final int PATIENCE_PERCENT = 100;

  /**
   * Longest wait for a near place while most of the workers' capacity is free, in milliseconds: a
   * job with room must not seem forgotten.
   */
  private static final long MOSTLY_FREE_PATIENCE_MILLIS = 2_000;

  private final ScopeState state;
  private final RunOrders orders;
  private final DemandQueue queue;
  private final GangHolds holds;
  private final Headroom headroom;
  private final Placer placer;
  private final RoomMaker roomMaker;
  private final FleetUse fleet;
  private long nextRetryMillis = Long.MAX_VALUE;

  Planner(ScopeState state, RunOrders orders) {
    this.state = state;
    this.orders = orders;
    this.queue = new DemandQueue(state);
    this.holds = new GangHolds();
    this.headroom = new Headroom(state);
    this.placer = new Placer(state, holds, headroom);
    this.roomMaker = new RoomMaker(state, placer);
    this.fleet = new FleetUse(state);
  }

  /** Plans if anything has changed that may let a step start. */
  void run(Present present) {
    boolean isDue = present.millis() >= nextRetryMillis;
    if (!state.dirty && !isDue) {
      return;
    }
    state.dirty = false;
    nextRetryMillis = Long.MAX_VALUE;
    holds.clear();
    fleet.renew();
    headroom.renew(placer.open(present.millis()), present);
    List<Placement> placements = new ArrayList<>();
    redeemReservations(placements, present);
    for (Demand demand : queue.waiting(present)) {
      if (!state.reservations.containsKey(demand.key())) {
        plan(demand, placements, present);
      }
    }
    if (!placements.isEmpty()) {
      state.propose(new ScopeCommand.Place(placements));
    }
    noteRetries(present);
  }

  private void plan(Demand demand, List<Placement> placements, Present present) {
    long now = present.millis();
    boolean isNearOnly = wantsNear(demand) && !placer.nearGroups(demand, now).isEmpty();
    List<WorkerSession> workers =
        isNearOnly ? placer.placeNear(demand, present) : placer.placeAnywhere(demand, present);
    if (workers.isEmpty() && isNearOnly && mayMakeRoom(demand)) {
      Optional<Reservation> room = roomMaker.makeRoomNear(demand, now);
      if (room.isPresent()) {
        reserve(room.get(), present);
        return;
      }
    }
    if (workers.isEmpty() && isNearOnly && mayGoFar(demand, now)) {
      workers = placer.placeAnywhere(demand, present);
      isNearOnly = false;
    }
    if (workers.isEmpty() && !isNearOnly && mayMakeRoom(demand)) {
      Optional<Reservation> room = roomMaker.makeRoom(demand, now);
      if (room.isPresent()) {
        reserve(room.get(), present);
        return;
      }
    }
    if (!workers.isEmpty()) {
      commit(demand, workers, placements, present);
    } else if (demand.spec().gang() && demand.lateness() <= WORTH_HOLDING) {
      List<List<WorkerSession>> groups = placer.nearGroups(demand, now);
      groups.forEach(group -> state.examined(group.size()));
      holds.hold(demand, groups, now);
    }
  }

  private void commit(
      Demand demand, List<WorkerSession> workers, List<Placement> placements, Present present) {
    for (int i = 0; i < workers.size(); i++) {
      commitTask(demand, demand.tasks().get(i), workers.get(i), placements, present);
    }
    state.farAllowedAt.remove(demand.key());
    report(demand, workers);
  }

  private static boolean mayMakeRoom(Demand demand) {
    return demand.priority() == ScopeState.URGENT;
  }

  private static boolean wantsNear(Demand demand) {
    return demand.spec().rackLocal() || !demand.spec().dataRack().isEmpty();
  }

  /**
   * A task far from its data takes several times as long, so waiting for a place near it is better
   * for about as long as the task runs, but only briefly while most workers are free. Urgent work
   * that found no near room goes far at once.
   */
  private boolean mayGoFar(Demand demand, long nowMillis) {
    if (demand.priority() == ScopeState.URGENT) {
      return true;
    }
    long patience = demand.spec().estimatedMillis() * PATIENCE_PERCENT / 100;
    if (fleet.isMostlyFree(demand.job().job().pool())) {
      patience = Math.min(patience, MOSTLY_FREE_PATIENCE_MILLIS);
    }
    long allowedAt = state.farAllowedAt.merge(demand.key(), nowMillis + patience, Math::min);
    return nowMillis >= allowedAt;
  }

  private void report(Demand demand, List<WorkerSession> workers) {
    long racks = workers.stream().map(worker -> worker.info.rack()).distinct().count();
    state.report(
        ScopeEvent.of(
            Kind.PLACED,
            demand.key(),
            "tasks="
                + workers.size()
                + " of="
                + demand.tasks().size()
                + " racks="
                + racks
                + " lateness="
                + demand.lateness()));
  }

  private void commitTask(
      Demand demand, int index, WorkerSession worker, List<Placement> placements, Present present) {
    TaskKey task = demand.key().task(index);
    RunId id = new RunId(task, demand.attemptOf(index));
    RunControl run =
        new RunControl(
            id, worker, demand.job(), demand.spec(), RunControl.Phase.PROPOSED, present.millis());
    run.startDeadline = worker.clockAt(present.millis()) + state.settings.startWindowMillis();
    state.addProposed(run);
    placements.add(new Placement(id, worker.info.key()));
  }

  // Reservations

  private void reserve(Reservation reservation, Present present) {
    Demand demand = reservation.demand();
    reservation.workers().forEach(worker -> worker.reserve(demand.spec().task()));
    state.reservations.put(demand.key(), reservation);
    state.report(
        ScopeEvent.of(Kind.PREEMPTING, demand.key(), "victims=" + reservation.victims().size()));
    for (RunId victim : reservation.victims()) {
      RunControl run = state.runs.get(victim);
      if (run != null) {
        orders.stop(run, "preempted by " + demand.key().job(), present);
      }
    }
  }

  private void redeemReservations(List<Placement> placements, Present present) {
    for (Reservation reservation : List.copyOf(state.reservations.values())) {
      boolean isFree =
          reservation.victims().stream().noneMatch(victim -> state.runs.containsKey(victim));
      boolean isExpired = present.millis() >= reservation.untilMillis();
      if (isFree || isExpired || isObsolete(reservation)) {
        release(reservation);
        if (isFree && !isObsolete(reservation)) {
          redeem(reservation, placements, present);
        }
      }
    }
  }

  private void release(Reservation reservation) {
    Demand demand = reservation.demand();
    reservation.workers().forEach(worker -> worker.release(demand.spec().task()));
    state.reservations.remove(demand.key());
  }

  private boolean isObsolete(Reservation reservation) {
    return reservation.demand().job().status().isFinal();
  }

  private void redeem(Reservation reservation, List<Placement> placements, Present present) {
    Demand demand = reservation.demand();
    List<WorkerSession> usable = placer.usable(demand, present.millis());
    List<WorkerSession> workers = reservation.workers();
    boolean isIntact = usable.containsAll(workers);
    if (!isIntact) {
      return;
    }
    List<RunControl> added = new ArrayList<>();
    for (int i = 0; i < workers.size(); i++) {
      if (!workers.get(i).fits(demand.spec().task())) {
        continue;
      }
      int index = demand.tasks().get(i);
      commitTask(demand, index, workers.get(i), placements, present);
      added.add(state.runs.get(new RunId(demand.key().task(index), demand.attemptOf(index))));
    }
    boolean isPartial = demand.spec().gang() && added.size() < workers.size();
    if (isPartial) {
      undo(added, placements);
    } else {
      report(demand, workers);
    }
  }

  private void undo(List<RunControl> added, List<Placement> placements) {
    for (RunControl run : added) {
      placements.removeIf(placement -> placement.run().equals(run.id));
      state.settleProposed(run.id);
      state.remove(run);
    }
  }

  private void noteRetries(Present present) {
    long next = headroom.nextRenewalMillis(present);
    for (long time : state.notBefore.values()) {
      if (time > present.millis()) {
        next = Math.min(next, time);
      }
    }
    state.notBefore.values().removeIf(time -> time <= present.millis());
    state.farAllowedAt.keySet().removeIf(step -> state.ledger.step(step) == null);
    for (long time : state.farAllowedAt.values()) {
      if (time > present.millis()) {
        next = Math.min(next, time);
      }
    }
    for (Reservation reservation : state.reservations.values()) {
      next = Math.min(next, reservation.untilMillis());
    }
    state.examined(state.sessions.size());
    for (WorkerSession worker : state.sessions.values()) {
      if (worker.asideUntilMillis > present.millis()) {
        next = Math.min(next, worker.asideUntilMillis);
      }
    }
    long due = queue.nextDueMillis(present);
    if (due != Long.MAX_VALUE) {
      next = Math.min(next, present.millis() + Math.max(1, due - present.wallMillis()));
    }
    nextRetryMillis = next;
  }
}
