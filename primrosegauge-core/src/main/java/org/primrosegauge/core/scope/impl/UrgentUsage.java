package org.primrosegauge.core.scope.impl;

import java.util.HashMap;
import java.util.Map;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.Revision;

/**
 * Tracks the accelerators used by the urgent runs of each customer.
 *
 * <p>Not thread-safe.
 */
final class UrgentUsage {

  private final ScopeState state;
  private final Map<CustomerId, Integer> accelerators = new HashMap<>();

  /**
   * Revision of the configuration under which the runs were counted; null before the first query.
   */
  private Revision revision;

  UrgentUsage(ScopeState state) {
    this.state = state;
  }

  void clear() {
    accelerators.clear();
    revision = null;
  }

  void add(RunState run) {
    adjust(run, run.spec.task().accelerators());
  }

  void remove(RunState run) {
    adjust(run, -run.spec.task().accelerators());
  }

  /** Returns the accelerators used by the urgent runs of a customer; 0 if there are none. */
  int acceleratorsOf(CustomerId customer) {
    Revision current = state.ledger.configuration().revision();
    if (!current.equals(revision)) {
      // The new configuration may assign other priorities to the queues.
      revision = current;
      accelerators.clear();
      state.examined(state.runs.size());
      state.runs.values().forEach(this::add);
    }
    return accelerators.getOrDefault(customer, 0);
  }

  private void adjust(RunState run, int delta) {
    if (!state.ledger.configuration().revision().equals(revision)) {
      // The next query counts all runs again.
      return;
    }
    CustomerId customer = run.job.job().customer();
    if (customer != null && state.priorityOf(run.job) == ScopeState.URGENT) {
      accelerators.merge(customer, delta, Integer::sum);
    }
  }
}
