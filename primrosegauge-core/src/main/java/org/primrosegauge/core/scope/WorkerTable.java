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
 * Worker incarnations of a ledger, indexed by target and by address, with the total capacity of
 * each pool.
 *
 * <p>The cost of an update does not depend on the number of workers. Not thread-safe.
 */
final class WorkerTable {

  private final Map<WorkerKey, WorkerRecord> workers = new LinkedHashMap<>();
  private final WorkerIndex index = new WorkerIndex();
  private final Map<ServiceId, Map<FailureDomainId, Resources>> capacities = new HashMap<>();

  WorkerRecord get(WorkerKey key) {
    return workers.get(key);
  }

  Collection<WorkerRecord> all() {
    return Collections.unmodifiableCollection(workers.values());
  }

  /**
   * Returns a copy of the incarnations that have the same target or the same address as the given
   * one, including that one itself.
   */
  List<WorkerInfo> withSameTargetOrAddress(WorkerInfo info) {
    return index.withSameTargetOrAddress(info);
  }

  /** Returns the total capacity of the workers of a pool, without those in excluded domains. */
  Resources capacity(ServiceId pool, Set<FailureDomainId> excluded) {
    return capacities.getOrDefault(pool, Map.of()).entrySet().stream()
        .filter(domain -> !excluded.contains(domain.getKey()))
        .map(Map.Entry::getValue)
        .reduce(Resources.NONE, Resources::plus);
  }

  void clear() {
    workers.clear();
    index.clear();
    capacities.clear();
  }

  /** Adds an incarnation that the table does not contain yet. */
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
