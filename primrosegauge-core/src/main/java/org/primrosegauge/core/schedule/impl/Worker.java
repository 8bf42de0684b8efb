package org.primrosegauge.core.schedule.impl;

import java.util.LinkedHashMap;
import java.util.Map;
import org.primrosegauge.core.RackId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.job.Resources;

/**
 * Books of one worker: what it has and which tasks hold it. Capacity planned for a task while
 * borrowers are still being stopped counts as held, so the free amounts may be negative for a time.
 *
 * <p>Not thread-safe; owned by one scheduler.
 *
 * @since 0.1
 */
public final class Worker {

  final TargetId id;
  final RackId rack;
  final Resources capacity;
  final Map<TaskId, Resources> held = new LinkedHashMap<>();
  final WorkerHealth health = new WorkerHealth();
  boolean leaving;
  private long freeMilliCores;
  private long freeMemoryMib;
  private int freeAccelerators;

  Worker(TargetId id, RackId rack, Resources capacity) {
    this.id = id;
    this.rack = rack;
    this.capacity = capacity;
    freeMilliCores = capacity.milliCores();
    freeMemoryMib = capacity.memoryMib();
    freeAccelerators = capacity.accelerators();
  }

  int freeAccelerators() {
    return freeAccelerators;
  }

  /** Tells whether more is planned and held than the worker has. */
  boolean isOverdrawn() {
    return freeMilliCores < 0 || freeMemoryMib < 0 || freeAccelerators < 0;
  }

  void hold(TaskId task, Resources amount) {
    release(task);
    held.put(task, amount);
    add(amount, -1);
  }

  void release(TaskId task) {
    Resources amount = held.remove(task);
    if (amount != null) {
      add(amount, 1);
    }
  }

  /** Returns how many tasks of a size fit into what is free and an extra amount. */
  int slots(Resources perTask, Resources extra) {
    long slots = Integer.MAX_VALUE;
    slots = Math.min(slots, part(freeMilliCores + extra.milliCores(), perTask.milliCores()));
    slots = Math.min(slots, part(freeMemoryMib + extra.memoryMib(), perTask.memoryMib()));
    slots = Math.min(slots, part(freeAccelerators + extra.accelerators(), perTask.accelerators()));
    return (int) slots;
  }

  /** Returns how many tasks of a size the empty worker has room for. */
  static int slotsIn(Resources capacity, Resources perTask) {
    long slots = part(capacity.milliCores(), perTask.milliCores());
    slots = Math.min(slots, part(capacity.memoryMib(), perTask.memoryMib()));
    return (int) Math.min(slots, part(capacity.accelerators(), perTask.accelerators()));
  }

  private static long part(long have, long need) {
    if (need == 0) {
      return Integer.MAX_VALUE;
    }
    return have <= 0 ? 0 : Math.min(have / need, Integer.MAX_VALUE);
  }

  private void add(Resources amount, int sign) {
    freeMilliCores += sign * amount.milliCores();
    freeMemoryMib += sign * amount.memoryMib();
    freeAccelerators += sign * amount.accelerators();
  }
}
