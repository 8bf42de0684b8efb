package org.primrosegauge.core.scope.impl;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeEvent;
import org.primrosegauge.core.scope.ScopeEvent.Kind;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;

/**
 * Registers the worker incarnations that announce themselves.
 *
 * <p>An announcement proves nothing: it may come from another writer, or arrive late. One that
 * claims the place of a registered incarnation, that is, its target or its address, is probed
 * first, and registered only if it responds as the incarnation that it claims to be. Until then the
 * registered one keeps its runs, which end by its own word or with its lease.
 *
 * <p>Not thread-safe.
 */
final class WorkerRegistrations {

  private final ScopeState state;
  private final RunLifecycle lifecycle;

  /** Heartbeats of the incarnations that are being probed. */
  private final Map<WorkerKey, WorkerHeartbeat> claims = new HashMap<>();

  WorkerRegistrations(ScopeState state, RunLifecycle lifecycle) {
    this.state = state;
    this.lifecycle = lifecycle;
  }

  /** Forgets the probes of a former term, whose results are not handled any more. */
  void clear() {
    claims.clear();
  }

  /** Handles a heartbeat of an incarnation that is not registered. */
  void announced(WorkerHeartbeat heartbeat) {
    List<WorkerInfo> rivals = state.ledger.rivalsOf(heartbeat.info());
    state.examined(rivals.size());
    if (rivals.isEmpty()) {
      register(heartbeat);
    } else if (rivals.stream().noneMatch(rival -> excludes(rival, heartbeat.info()))) {
      probe(heartbeat);
    }
  }

  /** Handles the result of the probe of an incarnation that is not registered. */
  void handleProbeResult(WorkerKey key, PollResult result) {
    WorkerHeartbeat claim = claims.remove(key);
    if (claim == null) {
      return;
    }
    if (result.kind() != PollResult.Kind.REPORT) {
      String detail = "address=" + claim.info().address() + " answer=" + result.kind();
      state.report(ScopeEvent.of(Kind.WORKER_UNCONFIRMED, key, detail));
      return;
    }
    state.ledger.rivalsOf(claim.info()).stream()
        .filter(rival -> !isBornBefore(rival, claim.info()))
        .map(rival -> state.sessions.get(rival.key()))
        .filter(rival -> rival != null && !isEstablished(rival))
        .forEach(lifecycle::proposeRemoval);
    register(claim);
  }

  private void register(WorkerHeartbeat heartbeat) {
    state.unregistered.put(heartbeat.info().key(), heartbeat);
    state.propose(new ScopeCommand.SeeWorker(heartbeat.info()));
  }

  private void probe(WorkerHeartbeat heartbeat) {
    WorkerInfo info = heartbeat.info();
    boolean isPending = claims.putIfAbsent(info.key(), heartbeat) != null;
    if (!isPending) {
      state.emit(new ScopeAction.Probe(info.key(), info.address(), 0, state.term));
    }
  }

  /** Tells whether a registered incarnation shows that an announcement is late or not its own. */
  private boolean excludes(WorkerInfo rival, WorkerInfo announced) {
    WorkerSession session = state.sessions.get(rival.key());
    return !isBornBefore(rival, announced) && session != null && isEstablished(session);
  }

  private static boolean isBornBefore(WorkerInfo rival, WorkerInfo announced) {
    return rival.key().bornMillis() < announced.key().bornMillis();
  }

  /** Tells whether a registered incarnation has ever responded, in this term or an earlier one. */
  private static boolean isEstablished(WorkerSession worker) {
    return worker.confirmed || !worker.runs.isEmpty();
  }
}
