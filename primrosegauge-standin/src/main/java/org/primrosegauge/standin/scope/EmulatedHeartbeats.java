package org.primrosegauge.standin.scope;

import java.util.HashMap;
import java.util.Map;
import org.primrosegauge.core.scope.DrainCommands;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerKey;

/**
 * The heartbeats that the workers of an emulated scope send to its leader.
 *
 * <p>Not thread-safe; owned by one {@link EmulatedScope}.
 */
final class EmulatedHeartbeats {

  private static final long INTERVAL_MILLIS = 1_500;

  private final EmulatedScope scope;
  private final Map<WorkerKey, Long> nextMillis = new HashMap<>();
  private final Map<WorkerKey, Long> acknowledged = new HashMap<>();
  private int lost;

  EmulatedHeartbeats(EmulatedScope scope) {
    this.scope = scope;
  }

  /** Returns how many heartbeats were not acknowledged in time. */
  int lost() {
    return lost;
  }

  /** Sets the time of a worker's next heartbeat, in milliseconds. */
  void schedule(WorkerKey worker, long atMillis) {
    nextMillis.put(worker, atMillis);
  }

  /** Sends a worker's heartbeat if it is due and the leader can be reached. */
  void sendIfDue(EmulatedWorker worker) {
    WorkerKey key = worker.info.key();
    boolean isDue = scope.now >= nextMillis.getOrDefault(key, 0L);
    if (isDue && scope.leader.isPresent() && scope.network.isHeard(key)) {
      schedule(key, scope.now + INTERVAL_MILLIS);
      WorkerHeartbeat heartbeat = worker.status(scope.now);
      scope.at(
          scope.now + EventKind.HEARTBEAT.patienceMillis(),
          () -> repeatUnlessAcknowledged(key, heartbeat));
      deliver(heartbeat);
    }
  }

  /** Hands a heartbeat to the leader, which acknowledges it. */
  void deliver(WorkerHeartbeat heartbeat) {
    scope.leader.tell(
        EventKind.HEARTBEAT,
        (leader, present) -> {
          DrainCommands.forHeartbeat(scope.ledger, heartbeat).forEach(scope.leader::propose);
          acknowledged.put(heartbeat.info().key(), heartbeat.sequence());
          return leader.handleHeartbeat(heartbeat, present);
        });
  }

  /** A worker whose heartbeat is not acknowledged sends the next one at once. */
  private void repeatUnlessAcknowledged(WorkerKey key, WorkerHeartbeat heartbeat) {
    if (acknowledged.getOrDefault(key, 0L) < heartbeat.sequence()) {
      lost++;
      schedule(key, scope.now);
    }
  }
}
