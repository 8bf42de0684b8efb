package org.primrosegauge.core.scope.impl;

import java.util.HashMap;
import java.util.Map;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.WorkerKey;

/**
 * When this replica learned that the leases of workers are renewed no more.
 *
 * <p>Answers leaders that change faster than a lease ends: a lease that no leader renews is over
 * its whole length after any replica learned so, whoever leads by then.
 *
 * <p>Not thread-safe. Kept over all terms, whether this replica leads or not.
 */
final class RenewalSuspensions {

  private final ScopeLedger ledger;
  private final Map<WorkerKey, Long> learnedMillis = new HashMap<>();

  RenewalSuspensions(ScopeLedger ledger) {
    this.ledger = ledger;
  }

  /** Forgets all: what came between two states of the ledger is not known. */
  void clear() {
    learnedMillis.clear();
  }

  /** Notes a command that the ledger has applied. */
  void applied(ScopeCommand command, ClockReading now) {
    if (command instanceof ScopeCommand.SwitchRenewal order) {
      order.workers().forEach(worker -> recordSwitch(worker, order.isSuspended(), now));
    } else if (command instanceof ScopeCommand.ForgetWorker gone) {
      learnedMillis.remove(gone.worker());
    } else if (command instanceof ScopeCommand.SeeWorker) {
      learnedMillis.keySet().removeIf(worker -> ledger.worker(worker).isEmpty());
    }
  }

  private void recordSwitch(WorkerKey worker, boolean isSuspended, ClockReading now) {
    if (isSuspended) {
      learnedMillis.putIfAbsent(worker, now.monotonicMillis());
    } else {
      learnedMillis.remove(worker);
    }
  }

  /** Returns a time since which the lease of a worker has not been renewed. */
  long suspendedSinceMillis(WorkerKey worker, long nowMillis) {
    return learnedMillis.computeIfAbsent(worker, key -> nowMillis);
  }
}
