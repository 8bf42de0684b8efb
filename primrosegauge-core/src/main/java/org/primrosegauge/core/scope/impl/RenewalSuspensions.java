package org.primrosegauge.core.scope.impl;

import java.util.HashMap;
import java.util.Map;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.WorkerKey;

/**
 * Times at which this replica learned that the lease renewal of a worker is suspended.
 *
 * <p>Leaders may change faster than a lease expires. A lease that no leader renews has expired once
 * its full length has passed since any replica learned of the suspension, whichever replica leads
 * by then.
 *
 * <p>Not thread-safe. Kept across terms, whether this replica leads or not.
 */
final class RenewalSuspensions {

  private final ScopeLedger ledger;
  private final Map<WorkerKey, Long> learnedMillis = new HashMap<>();

  RenewalSuspensions(ScopeLedger ledger) {
    this.ledger = ledger;
  }

  /**
   * Forgets all times. Called when the ledger is replaced, because commands between the two states
   * are unknown.
   */
  void clear() {
    learnedMillis.clear();
  }

  /** Records the effect of a command that the ledger has applied. */
  void applied(ScopeCommand command, ClockReading now) {
    if (command instanceof ScopeCommand.SwitchRenewal renewalSwitch) {
      renewalSwitch
          .workers()
          .forEach(worker -> recordSwitch(worker, renewalSwitch.isSuspended(), now));
    } else if (command instanceof ScopeCommand.ForgetWorker removal) {
      learnedMillis.remove(removal.worker());
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

  /**
   * Returns a monotonic time since which the lease of a worker has not been renewed, in
   * milliseconds. If none is known, this is the given time from now on.
   */
  long suspendedSinceMillis(WorkerKey worker, long nowMillis) {
    return learnedMillis.computeIfAbsent(worker, key -> nowMillis);
  }
}
