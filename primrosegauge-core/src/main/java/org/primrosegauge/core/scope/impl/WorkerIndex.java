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
 * Index of worker incarnations by target and by address, which avoids a scan over all of them.
 *
 * <p>Not thread-safe.
 */
public final class WorkerIndex {

  private final Map<TargetId, Set<WorkerInfo>> byTarget = new HashMap<>();
  private final Map<HostPort, Set<WorkerInfo>> byAddress = new HashMap<>();

  /** Removes all incarnations. */
  public void clear() {
    byTarget.clear();
    byAddress.clear();
  }

  /** Adds an incarnation. */
  public void add(WorkerInfo info) {
    byTarget.computeIfAbsent(info.key().target(), key -> new LinkedHashSet<>()).add(info);
    byAddress.computeIfAbsent(info.address(), key -> new LinkedHashSet<>()).add(info);
  }

  /** Removes an incarnation, given with the same values as when it was added. */
  public void remove(WorkerInfo info) {
    removeFrom(byTarget, info.key().target(), info);
    removeFrom(byAddress, info.address(), info);
  }

  /** Returns a copy of the incarnations of a target. */
  public List<WorkerKey> ofTarget(TargetId target) {
    return byTarget.getOrDefault(target, Set.of()).stream().map(WorkerInfo::key).toList();
  }

  /**
   * Returns a copy of the incarnations with the same target or the same address as the given one,
   * which is included.
   */
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
