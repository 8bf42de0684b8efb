package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.schedule.cfg.BackfillRule;

/**
 * Goes through the queue and plans every gang that may start now: claims of guarantees first, then
 * the policy's order.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class Dispatcher {

  private final DomainState state;
  private final GangLifecycle lifecycle;
  private final Placer placer;
  private final ClaimPlacer claimPlacer;
  private final FirmPlacer firmPlacer;
  private final Reclaimer reclaimer;
  private final PreemptionBudget budget;

  Dispatcher(DomainState state, GangLifecycle lifecycle) {
    this.state = state;
    this.lifecycle = lifecycle;
    this.placer = new Placer(state.fleet);
    this.claimPlacer = new ClaimPlacer(state, state.ledger);
    this.firmPlacer = new FirmPlacer(state, state.ledger, placer);
    this.reclaimer = new Reclaimer(state, lifecycle);
    this.budget = new PreemptionBudget(state.settings.preemptionsPerHour());
  }

  /** Plans what can start after an event. */
  void run(long nowMillis) {
    if (state.rebuilding) {
      return;
    }
    if (state.fleetChanged || state.capacityChanged && state.ledger.isAnyMissing()) {
      state.fleetChanged = false;
      state.ledger.refresh();
    }
    if (!state.mayStart(nowMillis)) {
      return;
    }
    reserveVacated(nowMillis);
    if (state.capacityChanged) {
      state.capacityChanged = false;
      state.fresh.clear();
      claimAll(nowMillis);
      startInOrder(nowMillis);
    }
    startFresh(nowMillis);
  }

  private void reserveVacated(long nowMillis) {
    if (!state.vacated) {
      return;
    }
    state.vacated = false;
    for (Gang gang : new ArrayList<>(state.inTransition)) {
      if (gang.isPlanned()) {
        lifecycle.reserveWhenVacated(gang, nowMillis);
      }
    }
  }

  // Passes over the queue

  private void claimAll(long nowMillis) {
    if (state.ledger.guarantees().isEmpty()) {
      return;
    }
    for (Gang gang : new ArrayList<>(state.queue)) {
      boolean covered = !state.ledger.guaranteesOf(gang.spec.customer()).isEmpty();
      if (covered && isReady(gang, nowMillis) && isWithinQuota(gang)) {
        tryClaim(gang, nowMillis);
      }
    }
  }

  private void startInOrder(long nowMillis) {
    Gang blocked = null;
    int tries = 0;
    List<Gang> failed = new ArrayList<>();
    for (Gang gang : new ArrayList<>(state.queue)) {
      if (!isReady(gang, nowMillis) || isWaitingForQuota(gang, nowMillis)) {
        continue;
      }
      if (!mayPass(gang, blocked, nowMillis)) {
        gang.waitsFor(JobReason.WAITS_TURN, nowMillis);
      } else if (isHopeless(gang, failed)) {
        gang.waitsFor(JobReason.WAITS_CAPACITY, nowMillis);
      } else if (tries++ >= state.settings.maxPlacementTries()) {
        break;
      } else if (!tryStart(gang, false, nowMillis)) {
        failed.add(gang);
        blocked = blocked == null ? gang : blocked;
      }
    }
  }

  private void startFresh(long nowMillis) {
    List<Gang> fresh = new ArrayList<>(state.fresh);
    state.fresh.clear();
    for (Gang gang : fresh) {
      boolean waiting =
          state.queue.contains(gang)
              && isReady(gang, nowMillis)
              && !isWaitingForQuota(gang, nowMillis);
      if (!waiting || tryClaim(gang, nowMillis)) {
        continue;
      }
      Gang first = state.queue.first();
      if (mayPass(gang, first == gang ? null : first, nowMillis)) {
        tryStart(gang, true, nowMillis);
      } else {
        gang.waitsFor(JobReason.WAITS_TURN, nowMillis);
      }
    }
  }

  private boolean isReady(Gang gang, long nowMillis) {
    if (nowMillis < gang.notBeforeMillis || state.orphans.containsKey(gang.spec.id())) {
      gang.waitsFor(JobReason.WAITS_RETRY, nowMillis);
      return false;
    }
    return true;
  }

  private boolean mayPass(Gang gang, Gang blocked, long nowMillis) {
    if (blocked == null || gang.spec.urgent()) {
      return true;
    }
    // Nothing but short work passes a job whose wait has reached its bound, or small jobs would
    // keep taking the capacity that it needs.
    BackfillRule rule = blocked.promoted ? BackfillRule.BEFORE_SHADOW : state.policy.backfill();
    if (rule == BackfillRule.ALWAYS || rule == BackfillRule.NEVER) {
      return rule == BackfillRule.ALWAYS;
    }
    return rule.mayPass(gang.view(), nowMillis, ShadowTime.of(state, blocked, nowMillis));
  }

  /** Tells whether an alike gang that asks for no more has failed in this pass. */
  private static boolean isHopeless(Gang gang, List<Gang> failed) {
    for (Gang other : failed) {
      boolean asksMore =
          gang.spec.tasks() >= other.spec.tasks()
              && other.demand.fitsIn(gang.demand)
              && gang.spec.preemptible() == other.spec.preemptible()
              && gang.spec.urgent() == other.spec.urgent()
              && gang.rank >= other.rank
              && gang.promoted == other.promoted;
      boolean sameAdjacency =
          !other.spec.adjacencyRequired()
              || gang.spec.adjacencyRequired() && gang.spec.adjacency() == other.spec.adjacency();
      if (asksMore && sameAdjacency) {
        return true;
      }
    }
    return false;
  }

  // Quotas

  private boolean isWaitingForQuota(Gang gang, long nowMillis) {
    if (isWithinQuota(gang)) {
      return false;
    }
    gang.waitsFor(JobReason.WAITS_QUOTA, nowMillis);
    return true;
  }

  private boolean isWithinQuota(Gang gang) {
    int quota = state.quotas.getOrDefault(gang.spec.customer(), 0);
    int used = state.use.getOrDefault(gang.spec.customer(), 0);
    return quota == 0 || used + gang.accelerators() <= quota;
  }

  // One gang

  private boolean tryClaim(Gang gang, long nowMillis) {
    Optional<List<Worker>> workers = claimPlacer.claim(gang);
    workers.ifPresent(found -> plan(gang, found, any -> true, JobReason.PREEMPTED, nowMillis));
    return workers.isPresent();
  }

  private boolean tryStart(Gang gang, boolean isFresh, long nowMillis) {
    Optional<List<Worker>> workers = place(gang, nowMillis);
    if (workers.isPresent()) {
      planBorrowed(gang, workers.get(), any -> false, JobReason.PREEMPTED, nowMillis);
      return true;
    }
    if (gang.spec.urgent()) {
      return tryPreempt(gang, victim -> !victim.spec.urgent(), JobReason.PREEMPTED, nowMillis);
    }
    boolean mayPreempt = state.mayPreemptInPass || isFresh;
    if (mayPreempt && (gang.promoted || budget.isOpen(nowMillis))) {
      // One search a pass bounds the time of a decision; the next tick goes on.
      state.mayPreemptInPass = false;
      if (tryPreemptByPolicy(gang, nowMillis)) {
        return true;
      }
    }
    gang.waitsFor(waitReason(gang), nowMillis);
    return false;
  }

  private JobReason waitReason(Gang gang) {
    int free = 0;
    for (Worker worker : state.fleet.workers()) {
      free += worker.leaving ? 0 : Math.max(0, worker.freeAccelerators());
    }
    if (free < gang.accelerators()) {
      return JobReason.WAITS_CAPACITY;
    }
    return gang.spec.preemptible() ? JobReason.WAITS_ADJACENCY : JobReason.WAITS_GUARANTEE;
  }

  private boolean tryPreemptByPolicy(Gang gang, long nowMillis) {
    Predicate<Gang> settled =
        victim ->
            !victim.spec.urgent()
                && !victim.wasPromoted
                && nowMillis - victim.startedMillis >= state.settings.quantumMillis();
    Predicate<Gang> byRule =
        victim -> state.policy.preemption().mayPreempt(gang.view(), victim.viewAt(nowMillis));
    if (gang.promoted) {
      byRule = victim -> true;
    }
    if (tryPreempt(gang, settled.and(byRule), JobReason.PREEMPTED, nowMillis)) {
      return true;
    }
    if (!state.policy.defragments() || waitReason(gang) != JobReason.WAITS_ADJACENCY) {
      return false;
    }
    Predicate<Gang> smaller = victim -> victim.accelerators() * 2 <= gang.accelerators();
    return tryPreempt(gang, settled.and(smaller), JobReason.DEFRAGMENTED, nowMillis);
  }

  private boolean tryPreempt(Gang gang, Predicate<Gang> eligible, JobReason why, long nowMillis) {
    final boolean budgeted = !gang.spec.urgent() && !gang.promoted;
    Optional<List<Worker>> workers = reclaimer.place(eligible, () -> place(gang, nowMillis));
    if (workers.isEmpty()) {
      gang.waitsFor(waitReason(gang), nowMillis);
      return false;
    }
    int victims = planBorrowed(gang, workers.get(), eligible, why, nowMillis);
    if (budgeted) {
      budget.take(victims);
    }
    return true;
  }

  private int planBorrowed(
      Gang gang, List<Worker> workers, Predicate<Gang> eligible, JobReason why, long nowMillis) {
    if (!gang.spec.preemptible()) {
      gang.firmWorkers = workers;
      gang.firmEach = gang.demand;
      state.ledger.addFirm(workers, gang.demand);
    }
    return plan(gang, workers, eligible, why, nowMillis);
  }

  private int plan(
      Gang gang, List<Worker> workers, Predicate<Gang> eligible, JobReason why, long nowMillis) {
    lifecycle.plan(gang, workers, nowMillis);
    int victims = reclaimer.vacate(gang, eligible, why, nowMillis);
    lifecycle.reserveWhenVacated(gang, nowMillis);
    return victims;
  }

  /** Places a gang on free capacity and on what the present search may take back. */
  private Optional<List<Worker>> place(Gang gang, long nowMillis) {
    if (!gang.spec.preemptible()) {
      return firmPlacer.place(gang, worker -> room(worker, gang, nowMillis));
    }
    return placer.place(gang, worker -> room(worker, gang, nowMillis), state.policy.choice());
  }

  private static int room(Worker worker, Gang gang, long nowMillis) {
    if (worker.leaving || !worker.health.isUsable(nowMillis, worker.held.size())) {
      return 0;
    }
    int slots = worker.slots(gang.demand, worker.reclaimable);
    if (!worker.health.isProbing()) {
      return slots;
    }
    boolean suitsProbe = gang.spec.tasks() == 1 && gang.spec.repeatable();
    return suitsProbe ? Math.min(slots, 1) : 0;
  }
}
