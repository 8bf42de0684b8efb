package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeEvent;
import org.primrosegauge.core.scope.ScopeEvent.Kind;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.cfg.ScopeFeature;

/**
 * Assigns workers to waiting steps in queue order, and preempts runs for urgent steps.
 *
 * <p>A pass that reaches its limit of examined items ends early, so that it does not block its
 * thread for long. The next call continues where it ended, after the urgent steps.
 *
 * <p>Not thread-safe.
 */
final class Planner {

  /**
   * Greatest lateness of a gang for which workers are reserved. The result of a later gang is worth
   * nothing.
   */
  private static final int MAX_RESERVING_LATENESS = 1;

  /**
   * Time to wait for a local worker before a remote one is used, as a percentage of the estimated
   * run time.
   */
  private static final int LOCALITY_WAIT_PERCENT = 100;

  /**
   * Longest time that an urgent step waits for local workers, in milliseconds. It still has to
   * start soon enough for a customer that claims its guarantee.
   */
  private static final long MAX_URGENT_LOCALITY_WAIT_MILLIS = 1_000;

  /**
   * Longest time that a step waits for a better placement while its service is idle, in
   * milliseconds.
   */
  private static final long MAX_IDLE_WAIT_MILLIS = 2_000;

  /**
   * A step is overdue only if the free capacity suffices for this many times what it has to start
   * at once.
   */
  private static final int IDLE_CAPACITY_FACTOR = 2;

  /** Number of workers, runs, jobs and tasks that a pass examines before it ends early. */
  private static final long MAX_EXAMINED = 15_000;

  /** Largest number of steps whose wait one pass reports. */
  private static final int MAX_WAIT_REPORTS = 20;

  /** Capacity of a worker that is kept for a task. */
  private record Hold(WorkerSession worker, Resources task) {}

  private final ScopeState state;
  private final WorkerConfirmations confirmations;
  private final FreeCapacityIndex capacityIndex;
  private final Headroom headroom;
  private final DemandQueue queue;
  private final BackfillReservations backfillReservations;
  private final Placer placer;
  private final Preemptor preemptor;
  private final PreemptionReservations reservations;
  private final PlacementBatch batch;
  private Term term = Term.NONE;
  private Demand lastPlanned;
  private long nextRetryMillis = Long.MAX_VALUE;
  private int waitReports;

  /** Capacity that is kept for steps until their workers are confirmed. */
  private final List<Hold> holds = new ArrayList<>();

  /** Steps that wait for the confirmation of their workers. */
  private final Set<StepKey> unconfirmed = new LinkedHashSet<>();

  /** Steps that this pass has planned before all others. */
  private final Set<StepKey> plannedFirst = new HashSet<>();

  Planner(ScopeState state, RunLifecycle lifecycle, WorkerConfirmations confirmations) {
    this.state = state;
    this.confirmations = confirmations;
    this.capacityIndex = new FreeCapacityIndex(state);
    this.headroom = new Headroom(state, capacityIndex);
    this.queue = new DemandQueue(state, headroom);
    this.backfillReservations = new BackfillReservations(state);
    this.placer = new Placer(state, capacityIndex, backfillReservations, headroom);
    this.preemptor = new Preemptor(state, placer);
    this.reservations = new PreemptionReservations(state, lifecycle, confirmations, placer);
    this.batch = new PlacementBatch(state);
  }

  /** Marks the jobs that are affected by a command that the ledger has applied. */
  void markChangedJobs(ScopeCommand command) {
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
      // The ledger has ended all runs of an incarnation that is over.
      queue.refreshAll();
    }
  }

  /** Runs a planning pass if a change or a due retry may allow a step to start. */
  void run(ClockReading now) {
    boolean isDue = now.monotonicMillis() >= nextRetryMillis;
    if (!state.dirty && !isDue) {
      return;
    }
    state.dirty = false;
    nextRetryMillis = Long.MAX_VALUE;
    waitReports = 0;
    beginPass(now);
    reservations.settle(batch, demand -> isOverdue(demand, now.monotonicMillis()), now);
    queue.update(now);
    headroom.releaseAll();
    planWaiting(now);
    batch.propose();
    scheduleRetries(now);
  }

  private void beginPass(ClockReading now) {
    holds.forEach(hold -> hold.worker().release(hold.task()));
    holds.clear();
    if (!term.equals(state.term)) {
      term = state.term;
      lastPlanned = null;
      unconfirmed.clear();
      preemptor.clear();
      backfillReservations.reset();
    }
    capacityIndex.refresh(now.monotonicMillis());
  }

  private void planWaiting(ClockReading now) {
    long limit = state.examined() + MAX_EXAMINED;
    planUnconfirmed(now);
    Demand earlier = lastPlanned;
    if (earlier == null) {
      backfillReservations.releaseAll(now.monotonicMillis());
      lastPlanned = planAll(queue.waiting(), limit, now);
      return;
    }
    // Urgent steps that arrived in the meantime go first, but leave half of the limit to others.
    planAll(queue.urgentUntil(earlier), limit - MAX_EXAMINED / 2, now);
    lastPlanned = planAll(queue.waitingAfter(earlier), limit, now);
    // Steps before the resume point may be affected by changes since they were planned.
    state.dirty = true;
  }

  /**
   * Plans the steps whose workers were probed after the last pass, before all others. Tasks of them
   * that have been placed meanwhile are not planned again, and the others are.
   */
  private void planUnconfirmed(ClockReading now) {
    List<StepKey> retried = List.copyOf(unconfirmed);
    unconfirmed.clear();
    plannedFirst.clear();
    for (StepKey key : retried) {
      state.examined(1);
      Optional<Demand> waiting = queue.find(key);
      if (waiting.isPresent() && !state.reservations.containsKey(key)) {
        plannedFirst.add(key);
        plan(waiting.get(), now);
      }
    }
  }

  /**
   * Plans steps in order until the limit of examined items is exceeded.
   *
   * @return last step that was planned; null if all were
   */
  private Demand planAll(Iterable<Demand> demands, long limit, ClockReading now) {
    Demand last = null;
    for (Demand demand : demands) {
      if (last != null && state.examined() > limit) {
        return last;
      }
      state.examined(1);
      boolean isPlanned =
          plannedFirst.contains(demand.key()) || state.reservations.containsKey(demand.key());
      if (!isPlanned) {
        plan(demand, now);
      }
      last = demand;
    }
    return null;
  }

  private void plan(Demand demand, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    boolean isOverdue = isOverdue(demand, nowMillis);
    boolean isLocalOnly = prefersLocality(demand) && placer.canBeLocal(demand, nowMillis);
    Placer.Fit fit =
        isLocalOnly
            ? placer.placeLocal(demand, isOverdue, now)
            : placer.placeAnywhere(demand, isOverdue, now);
    if (fit.workers().isEmpty() && isLocalOnly && mayPreempt(demand) && !isOverdue) {
      Optional<Reservation> reservation = preemptor.planLocal(demand, nowMillis);
      if (reservation.isPresent()) {
        preempt(reservation.get(), now);
        return;
      }
    }
    if (fit.workers().isEmpty()
        && isLocalOnly
        && (isOverdue || mayRelaxLocality(demand, nowMillis))) {
      fit = placer.placeAnywhere(demand, isOverdue, now);
      isLocalOnly = false;
    }
    if (fit.workers().isEmpty() && !isLocalOnly && mayPreempt(demand)) {
      Optional<Reservation> reservation = preemptor.planAnywhere(demand, nowMillis);
      if (reservation.isPresent()) {
        preempt(reservation.get(), now);
        return;
      }
    }
    if (!fit.workers().isEmpty()) {
      placeConfirmed(demand, fit.workers(), now);
      return;
    }
    reportWait(demand, isLocalOnly ? WaitReason.LOCALITY : fit.hindrance(), nowMillis);
    if (demand.spec().gang() && demand.lateness() <= MAX_RESERVING_LATENESS) {
      backfillReservations.reserve(demand, () -> placer.localWorkers(demand, nowMillis), nowMillis);
    }
  }

  /**
   * Places the tasks of a step on workers that are confirmed, those of a gang only if all are. The
   * capacity for the others is kept until the next pass.
   */
  private void placeConfirmed(Demand demand, List<WorkerSession> workers, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    boolean areAllConfirmed = confirmations.confirmAll(demand, workers, nowMillis);
    List<WorkerSession> confirmed =
        areAllConfirmed
            ? workers
            : workers.stream()
                .filter(each -> confirmations.isConfirmed(demand, each, nowMillis))
                .toList();
    boolean isPlaceable = areAllConfirmed || !demand.spec().gang() && !confirmed.isEmpty();
    if (isPlaceable) {
      batch.place(demand, confirmed, now);
      demand.stepWait().restart(nowMillis);
    }
    if (!areAllConfirmed) {
      List<WorkerSession> kept = new ArrayList<>(workers);
      kept.removeAll(isPlaceable ? confirmed : List.of());
      kept.forEach(worker -> hold(worker, demand.spec().task()));
      awaitConfirmation(demand, nowMillis);
    }
  }

  private void preempt(Reservation reservation, ClockReading now) {
    if (!reservations.start(reservation, now)) {
      awaitConfirmation(reservation.demand(), now.monotonicMillis());
    }
  }

  private void awaitConfirmation(Demand demand, long nowMillis) {
    unconfirmed.add(demand.key());
    reportWait(demand, WaitReason.CONFIRMATION, nowMillis);
  }

  private void hold(WorkerSession worker, Resources task) {
    worker.reserve(task);
    holds.add(new Hold(worker, task));
  }

  private void reportWait(Demand demand, WaitReason reason, long nowMillis) {
    if (waitReports < MAX_WAIT_REPORTS && demand.stepWait().isReportDue(reason, nowMillis)) {
      waitReports++;
      demand.stepWait().recordReport(reason, nowMillis);
      String detail =
          "reason=" + reason + " tasks=" + demand.tasks().size() + " lateness=" + demand.lateness();
      state.report(ScopeEvent.of(Kind.WAITING, demand.key(), detail));
    }
  }

  /**
   * Tells whether a step has waited long enough for a better placement, or for workers reserved for
   * others, while its service was idle all the time.
   */
  private boolean isOverdue(Demand demand, long nowMillis) {
    long idleSince = capacityIndex.idleSinceMillis(demand.job().job().pool());
    if (idleSince == Long.MAX_VALUE) {
      return false;
    }
    long overdueAt = Math.max(idleSince, demand.stepWait().sinceMillis()) + MAX_IDLE_WAIT_MILLIS;
    if (nowMillis < overdueAt) {
      retryAt(overdueAt);
      return false;
    }
    int concurrentTasks = demand.spec().gang() ? demand.tasks().size() : 1;
    return placer
        .matchingWorkers(demand)
        .mayFit(demand.spec().task(), IDLE_CAPACITY_FACTOR * concurrentTasks);
  }

  private void retryAt(long millis) {
    nextRetryMillis = Math.min(nextRetryMillis, millis);
  }

  private static boolean mayPreempt(Demand demand) {
    return demand.priority() == ScopeState.URGENT;
  }

  private static boolean prefersLocality(Demand demand) {
    return demand.spec().rackLocal() || !demand.spec().dataRack().isEmpty();
  }

  /**
   * Tells whether a step may be placed away from its data or across racks. A task that runs far
   * from its data takes several times as long, so waiting for a local worker pays off for about as
   * long as the task runs. That holds for urgent work too, which would miss its objective.
   */
  private boolean mayRelaxLocality(Demand demand, long nowMillis) {
    long allowedAt = demand.stepWait().sinceMillis() + localityWaitMillis(demand);
    if (nowMillis < allowedAt) {
      retryAt(allowedAt);
    }
    return nowMillis >= allowedAt;
  }

  private long localityWaitMillis(Demand demand) {
    if (demand.spec().longRunning()) {
      // It runs until its job is cancelled, wherever it runs.
      return 0;
    }
    long millis = demand.expectedMillis() * LOCALITY_WAIT_PERCENT / 100;
    if (demand.priority() == ScopeState.URGENT) {
      boolean isEnabled = state.settings.isEnabled(ScopeFeature.URGENT_LOCALITY_WAIT);
      return isEnabled ? Math.min(millis, MAX_URGENT_LOCALITY_WAIT_MILLIS) : 0;
    }
    return state.settings.isEnabled(ScopeFeature.LOCALITY_WAIT) ? millis : 0;
  }

  private void scheduleRetries(ClockReading now) {
    long nowMillis = now.monotonicMillis();
    if (lastPlanned != null) {
      retryAt(nowMillis);
    }
    retryAt(headroom.nextRetryMillis(now));
    retryAt(preemptor.nextRetryMillis(nowMillis));
    retryAt(confirmations.takeNextRetryMillis());
    retryAt(capacityIndex.nextRefreshMillis());
    state.examined(state.notBefore.size() + state.reservations.size());
    state.notBefore.values().removeIf(time -> time <= nowMillis);
    for (Reservation reservation : state.reservations.values()) {
      retryAt(reservation.untilMillis());
    }
    retryAt(queue.nextRecheckMillis(now));
  }
}
