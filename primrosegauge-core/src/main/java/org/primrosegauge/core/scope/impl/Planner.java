package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.Placement;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeEvent;
import org.primrosegauge.core.scope.ScopeEvent.Kind;
import org.primrosegauge.core.scope.TaskKey;

/**
 * Gives waiting steps their workers, in order, and makes room for urgent ones.
 *
 * <p>A pass that has looked at much ends early, so that it does not hold its thread for long; the
 * next call goes on where it ended, urgent work first.
 *
 * <p>Not thread-safe.
 */
final class Planner {

  /** Gangs that are later than this earn nothing, so nothing is kept free for them. */
  private static final int WORTH_HOLDING = 1;

  /** Wait for a near place before a far one is taken, as a share of the estimated run time. */
  private static final int PATIENCE_PERCENT = 100;

  /** Longest time that a step waits for a better place while there is room, in milliseconds. */
  private static final long MOST_IDLE_WAIT_MILLIS = 2_000;

  /** A step has room when what is free holds what has to start together this many times. */
  private static final int ROOM_FACTOR = 2;

  /** Workers, runs, jobs and tasks that a pass looks at before it ends early. */
  private static final long MOST_EXAMINED = 15_000;

  private final ScopeState state;
  private final RunOrders orders;
  private final RoomIndex index;
  private final Headroom headroom;
  private final DemandQueue queue;
  private final GangHolds holds;
  private final Placer placer;
  private final RoomMaker roomMaker;
  private Term term = Term.NONE;
  private Demand lastPlanned;
  private long nextRetryMillis = Long.MAX_VALUE;

  Planner(ScopeState state, RunOrders orders) {
    this.state = state;
    this.orders = orders;
    this.index = new RoomIndex(state);
    this.headroom = new Headroom(state, index);
    this.queue = new DemandQueue(state, headroom);
    this.holds = new GangHolds(state);
    this.placer = new Placer(state, index, holds, headroom);
    this.roomMaker = new RoomMaker(state, placer);
  }

  /** Notes which jobs a command that the ledger has applied concerns. */
  void noteApplied(ScopeCommand command) {
    if (command instanceof ScopeCommand.Submit submit) {
      state.changedJobs.add(submit.job().id());
    } else if (command instanceof ScopeCommand.Cancel cancel) {
      state.changedJobs.add(cancel.job());
    } else if (command instanceof ScopeCommand.Place place) {
      place.placements().forEach(each -> state.changedJobs.add(each.run().task().job()));
    } else if (command instanceof ScopeCommand.RecordEnds ends) {
      ends.ends().forEach(end -> state.changedJobs.add(end.run().task().job()));
    } else if (command instanceof ScopeCommand.SeeWorker
        || command instanceof ScopeCommand.ForgetWorker) {
      // The ledger has ended all runs of a lifetime that is over.
      queue.renewAll();
    }
  }

  /** Plans if anything has changed that may let a step start. */
  void run(ClockReading present) {
    boolean isDue = present.monotonicMillis() >= nextRetryMillis;
    if (!state.dirty && !isDue) {
      return;
    }
    state.dirty = false;
    nextRetryMillis = Long.MAX_VALUE;
    begin(present);
    List<Placement> placements = new ArrayList<>();
    redeemReservations(placements, present);
    queue.update(present);
    headroom.renew();
    planWaiting(placements, present);
    if (!placements.isEmpty()) {
      state.propose(new ScopeCommand.Place(placements));
    }
    noteRetries(present);
  }

  private void begin(ClockReading present) {
    if (!term.equals(state.term)) {
      term = state.term;
      lastPlanned = null;
      roomMaker.clear();
      holds.restart();
    }
    index.refresh(present.monotonicMillis());
  }

  // Waiting steps

  private void planWaiting(List<Placement> placements, ClockReading present) {
    long limit = state.examined() + MOST_EXAMINED;
    Demand earlier = lastPlanned;
    if (earlier == null) {
      holds.clear(present.monotonicMillis());
      lastPlanned = planAll(queue.waiting(), limit, placements, present);
      return;
    }
    // Urgent work that has come meanwhile goes first and leaves the rest its half.
    planAll(queue.urgentUntil(earlier), limit - MOST_EXAMINED / 2, placements, present);
    lastPlanned = planAll(queue.waitingAfter(earlier), limit, placements, present);
    // What has changed meanwhile may matter to the steps before.
    state.dirty = true;
  }

  /**
   * Plans steps in their order until the pass has looked at enough.
   *
   * @return last step that was planned; null when all were
   */
  private Demand planAll(
      Iterable<Demand> demands, long limit, List<Placement> placements, ClockReading present) {
    Demand last = null;
    for (Demand demand : demands) {
      if (last != null && state.examined() > limit) {
        return last;
      }
      state.examined(1);
      if (!state.reservations.containsKey(demand.key())) {
        plan(demand, placements, present);
      }
      last = demand;
    }
    return null;
  }

  private void plan(Demand demand, List<Placement> placements, ClockReading present) {
    long now = present.monotonicMillis();
    boolean isOverdue = isOverdue(demand, now);
    boolean isNearOnly = wantsNear(demand) && placer.canBeNear(demand, now);
    List<WorkerSession> workers =
        isNearOnly
            ? placer.placeNear(demand, isOverdue, present)
            : placer.placeAnywhere(demand, isOverdue, present);
    if (workers.isEmpty() && isNearOnly && mayMakeRoom(demand) && !isOverdue) {
      Optional<Reservation> room = roomMaker.makeRoomNear(demand, now);
      if (room.isPresent()) {
        reserve(room.get(), present);
        return;
      }
    }
    if (workers.isEmpty() && isNearOnly && (isOverdue || mayGoFar(demand, now))) {
      workers = placer.placeAnywhere(demand, isOverdue, present);
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
      holds.hold(demand, () -> placer.workersNear(demand, now), now);
    }
  }

  /**
   * Tells whether a step has waited long enough for a better place, or for what is kept free for
   * others, while much of its service was free all the time.
   */
  private boolean isOverdue(Demand demand, long nowMillis) {
    long idleSince = index.idleSinceMillis(demand.job().job().pool());
    if (idleSince == Long.MAX_VALUE) {
      return false;
    }
    long overdueAt = Math.max(idleSince, demand.waited().sinceMillis()) + MOST_IDLE_WAIT_MILLIS;
    if (nowMillis < overdueAt) {
      retryAt(overdueAt);
      return false;
    }
    int together = demand.spec().gang() ? demand.tasks().size() : 1;
    return placer.anywhere(demand).mayHold(demand.spec().task(), ROOM_FACTOR * together);
  }

  private void retryAt(long millis) {
    nextRetryMillis = Math.min(nextRetryMillis, millis);
  }

  private void commit(
      Demand demand,
      List<WorkerSession> workers,
      List<Placement> placements,
      ClockReading present) {
    for (int i = 0; i < workers.size(); i++) {
      commitTask(demand, demand.tasks().get(i), workers.get(i), placements, present);
    }
    demand.waited().restart(present.monotonicMillis());
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
   * for about as long as the task runs. Urgent work that found no near room goes far at once.
   */
  private boolean mayGoFar(Demand demand, long nowMillis) {
    long patience = demand.spec().estimatedMillis() * PATIENCE_PERCENT / 100;
    long allowedAt = demand.waited().sinceMillis() + patience;
    if (nowMillis < allowedAt) {
      retryAt(allowedAt);
    }
    return demand.priority() == ScopeState.URGENT || nowMillis >= allowedAt;
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
      Demand demand,
      int index,
      WorkerSession worker,
      List<Placement> placements,
      ClockReading present) {
    TaskKey task = demand.key().task(index);
    RunId id = new RunId(task, demand.attemptOf(index));
    RunControl run =
        new RunControl(
            id,
            worker,
            demand.job(),
            demand.spec(),
            RunControl.Phase.PROPOSED,
            present.monotonicMillis());
    run.startDeadline =
        worker.clockAt(present.monotonicMillis()) + state.settings.startWindowMillis();
    state.addProposed(run);
    placements.add(new Placement(id, worker.info.key()));
  }

  // Reservations

  private void reserve(Reservation reservation, ClockReading present) {
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

  private void redeemReservations(List<Placement> placements, ClockReading present) {
    for (Reservation reservation : List.copyOf(state.reservations.values())) {
      boolean isFree =
          reservation.victims().stream().noneMatch(victim -> state.runs.containsKey(victim));
      boolean isExpired =
          present.monotonicMillis() >= reservation.untilMillis()
              || reservation.isNear() && isOverdue(reservation.demand(), present.monotonicMillis());
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

  private void redeem(Reservation reservation, List<Placement> placements, ClockReading present) {
    Demand demand = reservation.demand();
    List<WorkerSession> workers = reservation.workers();
    state.examined(workers.size());
    boolean isIntact =
        workers.stream()
            .allMatch(worker -> placer.isUsable(worker, demand, present.monotonicMillis()));
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

  private void noteRetries(ClockReading present) {
    long now = present.monotonicMillis();
    if (lastPlanned != null) {
      retryAt(now);
    }
    retryAt(headroom.nextRetryMillis(present));
    retryAt(roomMaker.nextRetryMillis(now));
    retryAt(index.nextRefreshMillis(now));
    state.examined(state.notBefore.size() + state.reservations.size());
    state.notBefore.values().removeIf(time -> time <= now);
    for (Reservation reservation : state.reservations.values()) {
      retryAt(reservation.untilMillis());
    }
    retryAt(queue.nextWakeMillis(present));
  }
}
