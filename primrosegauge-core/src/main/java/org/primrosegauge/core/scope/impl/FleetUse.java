package org.primrosegauge.core.scope.impl;

import java.util.HashMap;
import java.util.Map;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;

/**
 * How much of a service's workers is in use, as first asked in a planning pass.
 *
 * <p>Not thread-safe.
 */
final class FleetUse {

  private final ScopeState state;
  private final Map<ServiceId, Boolean> mostlyFree = new HashMap<>();

  FleetUse(ScopeState state) {
    this.state = state;
  }

  /** Begins a new pass. */
  void renew() {
    mostlyFree.clear();
  }

  /** Tells whether less than half of each resource of a service's workers is in use. */
  boolean isMostlyFree(ServiceId pool) {
    return mostlyFree.computeIfAbsent(pool, this::isMostlyFreeNow);
  }

  private boolean isMostlyFreeNow(ServiceId pool) {
    Resources all = Resources.NONE;
    Resources free = Resources.NONE;
    state.examined(state.sessions.size());
    for (WorkerSession worker : state.sessions.values()) {
      if (worker.info.pool().equals(pool)) {
        all = all.plus(worker.info.capacity());
        free = free.plus(worker.free());
      }
    }
    return 2 * free.milliCores() > all.milliCores()
        && 2 * free.memoryMib() > all.memoryMib()
        && 2L * free.accelerators() > all.accelerators();
  }
}
