package org.primrosegauge.core.scope;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.impl.WorkerIndex;

/**
 * Lifetimes of workers of a ledger, with who shares a target or an address and what the workers of
 * a pool have.
 *
 * <p>A change costs what it touches, however many workers there are. Not thread-safe.
 */
final class WorkerTable {

  private final Map<WorkerKey, WorkerRecord> workers = new LinkedHashMap<>();
  private final WorkerIndex index = new WorkerIndex();
  private final Map<ServiceId, Map<FailureDomainId, Resources>> capacities = new HashMap<>();

  // Accessors

  WorkerRecord get(WorkerKey key) {
    return workers.get(key);
  }

  Collection<WorkerRecord> all() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /** Returns a copy of the lifetimes with the target or the address of one, that one included. */
  List<WorkerInfo> withSameTargetOrAddress(WorkerInfo info) {
    return index.withSameTargetOrAddress(info);
  }

  /** Returns all that the workers of a pool have, without those in some domains. */
  Resources capacity(ServiceId pool, Set<FailureDomainId> without) {
    return capacities.getOrDefault(pool, Map.of()).entrySet().stream()
        .filter(domain -> !without.contains(domain.getKey()))
        .map(Map.Entry::getValue)
        .reduce(Resources.NONE, Resources::plus);
  }

  // Changes

  void clear() {
    workers.clear();
    index.clear();
    capacities.clear();
  }

  /** Adds a lifetime that is not there. */
  void add(WorkerRecord worker) {
    WorkerInfo info = worker.info();
    workers.put(info.key(), worker);
    index.add(info);
    capacities
        .computeIfAbsent(info.pool(), pool -> new HashMap<>())
        .merge(info.domain(), info.capacity(), Resources::plus);
  }

  void remove(WorkerRecord worker) {
    WorkerInfo info = worker.info();
    workers.remove(info.key());
    index.remove(info);
    capacities.get(info.pool()).merge(info.domain(), info.capacity(), Resources::minus);
  }
}
