package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import org.primrosegauge.core.RackId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.schedule.FleetCapacity;

/**
 * Workers of the domain, by rack and in the order of their ids.
 *
 * <p>Not thread-safe; owned by one scheduler.
 *
 * @since 0.1
 */
final class Fleet {

  private final TreeMap<TargetId, Worker> workers = new TreeMap<>();
  private final TreeMap<RackId, List<Worker>> racks = new TreeMap<>();

  Worker find(TargetId id) {
    return workers.get(id);
  }

  Collection<Worker> workers() {
    return workers.values();
  }

  Collection<List<Worker>> racks() {
    return racks.values();
  }

  void add(Worker worker) {
    remove(worker.id);
    workers.put(worker.id, worker);
    List<Worker> rack = racks.computeIfAbsent(worker.rack, id -> new ArrayList<>());
    rack.add(worker);
    rack.sort(Comparator.comparing(w -> w.id));
  }

  Worker remove(TargetId id) {
    Worker worker = workers.remove(id);
    if (worker != null) {
      List<Worker> rack = racks.get(worker.rack);
      rack.remove(worker);
      if (rack.isEmpty()) {
        racks.remove(worker.rack);
      }
    }
    return worker;
  }

  /** Sums up what is free. */
  FleetCapacity capacity() {
    int all = 0;
    int free = 0;
    int whole = 0;
    for (Worker worker : workers.values()) {
      int own = worker.capacity.accelerators();
      all += own;
      if (worker.acceptsWork()) {
        free += Math.max(0, worker.freeAccelerators());
        whole += worker.freeAccelerators() == own ? own : 0;
      }
    }
    return new FleetCapacity(all, free, whole);
  }

  void clear() {
    workers.clear();
    racks.clear();
  }
}
