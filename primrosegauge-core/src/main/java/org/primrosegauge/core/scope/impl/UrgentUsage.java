package org.primrosegauge.core.scope.impl;

import java.util.HashMap;
import java.util.Map;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.Revision;

/**
 * Counts the accelerators that each customer's urgent runs hold.
 *
 * <p>Not thread-safe.
 */
final class UrgentUsage {

  private final ScopeState state;
  private final Map<CustomerId, Integer> accelerators = new HashMap<>();

  /** Configuration under which the runs were counted; null before they are first asked for. */
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

  /** Returns the accelerators that a customer's urgent runs hold; 0 for none. */
  int acceleratorsOf(CustomerId customer) {
    Revision current = state.ledger.configuration().revision();
    if (!current.equals(revision)) {
      // Another configuration may have given queues other priorities.
      revision = current;
      accelerators.clear();
      state.examined(state.runs.size());
      state.runs.values().forEach(this::add);
    }
    return accelerators.getOrDefault(customer, 0);
  }

  private void adjust(RunState run, int change) {
    if (!state.ledger.configuration().revision().equals(revision)) {
      // All are counted when they are asked for.
      return;
    }
    CustomerId customer = run.job.job().customer();
    if (customer != null && state.priorityOf(run.job) == ScopeState.URGENT) {
      accelerators.merge(customer, change, Integer::sum);
    }
  }
}
