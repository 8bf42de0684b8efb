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

  /** Accelerators of blocks that are claimed here. */
  int pinned;

  /** Resources held outside claimed blocks by work that cannot be taken back. */
  Resources firm = Resources.NONE;

  /** Accelerators left beside a packing of the guarantees, during a search. */
  int roomBeside;

  /** Resources that the present search may take back. */
  Resources reclaimable = Resources.NONE;

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

  /** Returns the accelerators' worth of room for work that cannot be taken back. */
  int firmRoom() {
    if (capacity.accelerators() == 0) {
      return 0;
    }
    long room = capacity.accelerators() - firm.accelerators();
    room = Math.min(room, shares(capacity.milliCores(), firm.milliCores()));
    room = Math.min(room, shares(capacity.memoryMib(), firm.memoryMib()));
    return (int) room - pinned;
  }

  /** Returns how many firm tasks of a size fit into a number of accelerators' shares. */
  int slotsBeside(int room, Resources task) {
    Resources rest =
        new Resources(
            rest(capacity.milliCores(), firm.milliCores(), room),
            rest(capacity.memoryMib(), firm.memoryMib(), room),
            Math.max(0, Math.min(room, capacity.accelerators() - firm.accelerators())));
    return slotsIn(rest, task);
  }

  /** Returns the part of an amount that may be taken so that the other shares stay whole. */
  private long rest(long whole, long taken, int room) {
    int accelerators = capacity.accelerators();
    int keep = Math.max(0, firmRoom() - room) + pinned;
    long kept = (whole * keep + accelerators - 1) / accelerators;
    return Math.max(0, whole - taken - kept);
  }

  /** Tells whether the worker takes new work at all. */
  boolean acceptsWork() {
    return !leaving && !health.isProbing();
  }

  /** Returns the accelerators that borrowers have to give up for a piece of a block. */
  int evictedBy(int piece) {
    return Math.max(0, piece - freeAccelerators);
  }

  /** Tells whether the books are even once some amounts have left. */
  boolean coversDebt(Resources leaving) {
    return freeMilliCores + leaving.milliCores() >= 0
        && freeMemoryMib + leaving.memoryMib() >= 0
        && freeAccelerators + leaving.accelerators() >= 0;
  }

  private long shares(long whole, long taken) {
    return whole == 0 ? Long.MAX_VALUE : (whole - taken) * capacity.accelerators() / whole;
  }

  /** Returns the accelerators' worth that a task takes out of a block on this worker. */
  int shareOf(Resources task) {
    int accelerators = capacity.accelerators();
    long share = Math.max(1, task.accelerators());
    share = Math.max(share, sharesUp(capacity.milliCores(), task.milliCores(), accelerators));
    return (int) Math.max(share, sharesUp(capacity.memoryMib(), task.memoryMib(), accelerators));
  }

  private static long sharesUp(long whole, long need, int accelerators) {
    return whole == 0 ? 0 : (need * accelerators + whole - 1) / whole;
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
