package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.schedule.cfg.WorkerChoice;

/**
 * Goes through the queue and plans every gang that may start now.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class Dispatcher {

  private final DomainState state;
  private final GangLifecycle lifecycle;
  private final Placer placer;

  Dispatcher(DomainState state, GangLifecycle lifecycle) {
    this.state = state;
    this.lifecycle = lifecycle;
    this.placer = new Placer(state.fleet);
  }

  /** Plans what can start after an event. */
  void run(long nowMillis) {
    if (!state.capacityChanged || !state.mayStart(nowMillis)) {
      return;
    }
    state.capacityChanged = false;
    Gang blocked = null;
    long shadowMillis = 0;
    int tries = 0;
    for (Gang gang : new ArrayList<>(state.queue)) {
      if (!isReady(gang, nowMillis)) {
        continue;
      }
      boolean passes =
          blocked == null || state.policy.backfill().mayPass(gang.view(), nowMillis, shadowMillis);
      if (!passes) {
        gang.waitsFor(JobReason.WAITS_TURN, nowMillis);
        continue;
      }
      if (tries++ >= state.settings.maxPlacementTries()) {
        break;
      }
      if (!tryStart(gang, nowMillis) && blocked == null) {
        blocked = gang;
        shadowMillis = ShadowTime.of(state, gang, nowMillis);
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

  private boolean tryStart(Gang gang, long nowMillis) {
    Optional<List<Worker>> workers = place(gang, nowMillis, state.policy.choice());
    if (workers.isEmpty()) {
      gang.waitsFor(JobReason.WAITS_CAPACITY, nowMillis);
      return false;
    }
    lifecycle.plan(gang, workers.get(), nowMillis);
    return true;
  }

  private Optional<List<Worker>> place(Gang gang, long nowMillis, WorkerChoice choice) {
    return placer.place(
        gang.spec.tasks(),
        gang.spec.adjacency(),
        gang.spec.adjacencyRequired(),
        worker -> room(worker, gang, nowMillis),
        choice);
  }

  private static int room(Worker worker, Gang gang, long nowMillis) {
    if (worker.leaving || !worker.health.isUsable(nowMillis, worker.held.size())) {
      return 0;
    }
    int slots = worker.slots(gang.demand, Resources.NONE);
    if (!worker.health.isProbing()) {
      return slots;
    }
    boolean suitsProbe = gang.spec.tasks() == 1 && gang.spec.repeatable();
    return suitsProbe ? Math.min(slots, 1) : 0;
  }
}
