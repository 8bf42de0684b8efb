package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;

/**
 * Finds lifetimes of workers by their target and by their address without a walk over all.
 *
 * <p>Not thread-safe.
 */
public final class WorkerIndex {

  private final Map<TargetId, Set<WorkerInfo>> byTarget = new HashMap<>();
  private final Map<HostPort, Set<WorkerInfo>> byAddress = new HashMap<>();

  /** Forgets all lifetimes. */
  public void clear() {
    byTarget.clear();
    byAddress.clear();
  }

  /** Adds a lifetime. */
  public void add(WorkerInfo info) {
    byTarget.computeIfAbsent(info.key().target(), key -> new LinkedHashSet<>()).add(info);
    byAddress.computeIfAbsent(info.address(), key -> new LinkedHashSet<>()).add(info);
  }

  /** Removes a lifetime, given as it was added. */
  public void remove(WorkerInfo info) {
    removeFrom(byTarget, info.key().target(), info);
    removeFrom(byAddress, info.address(), info);
  }

  /** Returns a copy of the lifetimes of a target. */
  public List<WorkerKey> ofTarget(TargetId target) {
    return byTarget.getOrDefault(target, Set.of()).stream().map(WorkerInfo::key).toList();
  }

  /** Returns a copy of the lifetimes with the target or the address of one, that one included. */
  public List<WorkerInfo> withSameTargetOrAddress(WorkerInfo info) {
    Set<WorkerInfo> found =
        new LinkedHashSet<>(byTarget.getOrDefault(info.key().target(), Set.of()));
    found.addAll(byAddress.getOrDefault(info.address(), Set.of()));
    return new ArrayList<>(found);
  }

  private static <K> void removeFrom(Map<K, Set<WorkerInfo>> index, K key, WorkerInfo info) {
    index.computeIfPresent(
        key,
        (same, known) -> {
          known.remove(info);
          return known.isEmpty() ? null : known;
        });
  }
}
