package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.Resources;

/**
 * Workers that may get something new, by service, label and rack, each group in the order of its
 * free room.
 *
 * <p>Room is kept up to date with each run and reservation. Which workers are open is looked up at
 * intervals, so whoever picks a worker checks that it still is.
 *
 * <p>Not thread-safe.
 */
final class FreeCapacityIndex {

  /** Longest time after which it is noticed that a worker is open, in milliseconds. */
  private static final long REFRESH_INTERVAL_MILLIS = 50;

  /** Label of a section that takes in all workers. */
  private static final String ANY_LABEL = "";

  /** Share of a service's processors, and of its accelerators, that is free when it is idle. */
  private static final long IDLE_PERCENT = 45;

  private static final long PERCENT = 100;

  /** A worker as it stands in its groups. */
  private record Entry(int accelerators, long milliCores, long number, WorkerSession worker) {

    static final Comparator<Entry> ORDER =
        Comparator.comparingInt(Entry::accelerators)
            .thenComparingLong(Entry::milliCores)
            .thenComparingLong(Entry::number);
  }

  private record LabelKey(ServiceId pool, String label) {}

  /** Workers of a service that have one label. */
  private static final class LabelGroups {

    private final WorkerGroup all = new WorkerGroup();
    private final Map<String, WorkerGroup> racks = new LinkedHashMap<>();
  }

  /** What the workers of a service have and what of it is free. */
  private static final class Totals {

    private Resources capacity = Resources.NONE;
    private Resources free = Resources.NONE;

    void add(WorkerSession worker) {
      capacity = capacity.plus(worker.info.capacity());
      free = free.plus(worker.free());
    }
  }

  private final ScopeState state;
  private final Predicate<WorkerSession> isCurrent;
  private final Map<LabelKey, LabelGroups> groupsByLabel = new LinkedHashMap<>();
  private final Map<ServiceId, Totals> totals = new HashMap<>();
  private final Map<ServiceId, Long> idleSince = new HashMap<>();
  private final Map<WorkerSession, Long> numbers = new HashMap<>();
  private final Map<WorkerSession, Entry> entries = new HashMap<>();
  private Term term = Term.NONE;
  private long nextNumber;
  private long version;
  private int sessionCount;
  private long refreshedMillis;
  private long nextQuarantineEndMillis = Long.MAX_VALUE;

  FreeCapacityIndex(ScopeState state) {
    this.state = state;
    this.isCurrent = worker -> state.sessions.get(worker.info.key()) == worker;
  }

  // Accessors

  /** Returns a number that changes whenever a worker is added or removed. */
  long version() {
    return version;
  }

  /** Returns the services that have open workers. */
  Collection<ServiceId> pools() {
    return groupsByLabel.keySet().stream()
        .filter(section -> section.label().equals(ANY_LABEL))
        .map(LabelKey::pool)
        .toList();
  }

  /** Returns all open workers of a service that have a label; an empty label stands for any. */
  WorkerGroup workers(ServiceId pool, String label) {
    LabelGroups section = groupsByLabel.get(new LabelKey(pool, label));
    return section == null ? new WorkerGroup() : section.all;
  }

  /** Returns the open workers of one rack that have a label. */
  WorkerGroup rack(ServiceId pool, String label, String rack) {
    LabelGroups section = groupsByLabel.get(new LabelKey(pool, label));
    return section == null
        ? new WorkerGroup()
        : section.racks.getOrDefault(rack, new WorkerGroup());
  }

  /** Returns the open workers that have a label, rack by rack, the fullest rack first. */
  List<WorkerGroup> racks(ServiceId pool, String label) {
    LabelGroups section = groupsByLabel.get(new LabelKey(pool, label));
    if (section == null) {
      return List.of();
    }
    state.examined(section.racks.size());
    return section.racks.values().stream()
        .filter(rack -> !rack.isEmpty())
        .sorted(Comparator.comparingLong(WorkerGroup::freeAccelerators))
        .toList();
  }

  /** Returns since when much of a service has been free; the largest value when it is not. */
  long idleSinceMillis(ServiceId pool) {
    return idleSince.getOrDefault(pool, Long.MAX_VALUE);
  }

  private void updateIdle(long nowMillis) {
    totals.forEach(
        (pool, all) -> {
          if (isIdle(all)) {
            idleSince.putIfAbsent(pool, nowMillis);
          } else {
            idleSince.remove(pool);
          }
        });
  }

  private static boolean isIdle(Totals all) {
    return isIdle(all.free.milliCores(), all.capacity.milliCores())
        && isIdle(all.free.accelerators(), all.capacity.accelerators());
  }

  private static boolean isIdle(long free, long capacity) {
    return free * PERCENT >= capacity * IDLE_PERCENT;
  }

  /** Returns when the set of open workers may have changed. */
  long nextRefreshMillis(long nowMillis) {
    return refreshedMillis < nowMillis
        ? refreshedMillis + REFRESH_INTERVAL_MILLIS
        : nextQuarantineEndMillis;
  }

  /** Tells whether a worker may get something new now. */
  boolean isSchedulable(WorkerSession worker, long nowMillis) {
    return nowMillis >= worker.quarantinedUntilMillis
        && worker.knowsClock()
        && !worker.draining
        && !worker.removalProposed
        && worker.pollFailures == 0
        && !worker.renewalSuspended
        && !worker.isSilent(nowMillis, state.settings.silenceTimeoutMillis())
        && !state.ledger.domainsOut().contains(worker.info.domain())
        && isCurrent.test(worker);
  }

  // Changes

  /** Looks up which workers are open, where that is due. */
  void refresh(long nowMillis) {
    boolean isNewTerm = !term.equals(state.term);
    boolean isDue =
        isNewTerm
            || sessionCount != state.sessions.size()
            || nowMillis >= nextQuarantineEndMillis
            || nowMillis >= refreshedMillis + REFRESH_INTERVAL_MILLIS;
    if (!isDue) {
      return;
    }
    if (isNewTerm) {
      idleSince.clear();
    }
    term = state.term;
    sessionCount = state.sessions.size();
    refreshedMillis = nowMillis;
    nextQuarantineEndMillis = Long.MAX_VALUE;
    totals.clear();
    removeStaleWorkers();
    state.examined(sessionCount);
    for (WorkerSession worker : state.sessions.values()) {
      totals.computeIfAbsent(worker.info.pool(), pool -> new Totals()).add(worker);
      if (worker.quarantinedUntilMillis > nowMillis) {
        nextQuarantineEndMillis = Math.min(nextQuarantineEndMillis, worker.quarantinedUntilMillis);
      }
      boolean isOpen = isSchedulable(worker, nowMillis);
      if (isOpen && !entries.containsKey(worker)) {
        addWorker(worker);
      } else if (!isOpen && entries.containsKey(worker)) {
        removeWorker(worker);
      }
    }
    updateIdle(nowMillis);
  }

  private void removeStaleWorkers() {
    state.examined(numbers.size());
    for (Iterator<WorkerSession> each = numbers.keySet().iterator(); each.hasNext(); ) {
      WorkerSession worker = each.next();
      if (!isCurrent.test(worker)) {
        each.remove();
        if (entries.containsKey(worker)) {
          removeWorker(worker);
        }
      }
    }
  }

  private void addWorker(WorkerSession worker) {
    version++;
    numbers.computeIfAbsent(worker, each -> nextNumber++);
    Entry entry = entryOf(worker);
    entries.put(worker, entry);
    worker.capacityListener = this::reposition;
    groupsOf(worker).forEach(group -> group.add(entry));
  }

  private void removeWorker(WorkerSession worker) {
    version++;
    Entry entry = entries.remove(worker);
    worker.capacityListener = WorkerSession.NO_LISTENER;
    groupsOf(worker).forEach(group -> group.remove(entry));
  }

  private void reposition(WorkerSession worker) {
    Entry before = entries.get(worker);
    Entry after = entryOf(worker);
    if (before.equals(after)) {
      return;
    }
    entries.put(worker, after);
    for (WorkerGroup group : groupsOf(worker)) {
      group.remove(before);
      group.add(after);
    }
  }

  private Entry entryOf(WorkerSession worker) {
    Resources free = worker.free();
    return new Entry(free.accelerators(), free.milliCores(), numbers.get(worker), worker);
  }

  private List<WorkerGroup> groupsOf(WorkerSession worker) {
    List<WorkerGroup> groups = new ArrayList<>();
    addGroups(worker, ANY_LABEL, groups);
    worker.info.labels().stream()
        .filter(label -> !label.equals(ANY_LABEL))
        .distinct()
        .forEach(label -> addGroups(worker, label, groups));
    return groups;
  }

  private void addGroups(WorkerSession worker, String label, List<WorkerGroup> groups) {
    LabelGroups section =
        groupsByLabel.computeIfAbsent(
            new LabelKey(worker.info.pool(), label), key -> new LabelGroups());
    groups.add(section.all);
    groups.add(section.racks.computeIfAbsent(worker.info.rack(), rack -> new WorkerGroup()));
  }

  /** Open workers in the order of their free accelerators, then of their free processor time. */
  static final class WorkerGroup {

    private final TreeSet<Entry> byFreeCapacity = new TreeSet<>(Entry.ORDER);
    private Resources capacity = Resources.NONE;
    private long freeAccelerators;
    private long freeMilliCores;

    private void add(Entry entry) {
      byFreeCapacity.add(entry);
      capacity = capacity.plus(entry.worker().info.capacity());
      freeAccelerators += entry.accelerators();
      freeMilliCores += entry.milliCores();
    }

    private void remove(Entry entry) {
      byFreeCapacity.remove(entry);
      capacity = capacity.minus(entry.worker().info.capacity());
      freeAccelerators -= entry.accelerators();
      freeMilliCores -= entry.milliCores();
    }

    boolean isEmpty() {
      return byFreeCapacity.isEmpty();
    }

    int size() {
      return byFreeCapacity.size();
    }

    /** Returns all that its workers have. */
    Resources capacity() {
      return capacity;
    }

    long freeAccelerators() {
      return freeAccelerators;
    }

    long freeMilliCores() {
      return freeMilliCores;
    }

    /** Returns whether a number of tasks may fit into what is free, wherever it is. */
    boolean mayFit(Resources task, int count) {
      return freeAccelerators >= (long) task.accelerators() * count
          && freeMilliCores >= task.milliCores() * count;
    }

    /** Returns its workers, the fullest first. */
    List<WorkerSession> members() {
      return byFreeCapacity.stream().map(Entry::worker).toList();
    }

    /** Returns its emptiest workers, the emptiest first; equal ones as they came. */
    List<WorkerSession> emptiest(int count) {
      List<WorkerSession> found = new ArrayList<>();
      Entry entry = byFreeCapacity.isEmpty() ? null : byFreeCapacity.last();
      while (entry != null && found.size() < count) {
        Entry first = first(entry);
        for (Entry equal : byFreeCapacity.subSet(first, true, entry, true)) {
          if (found.size() < count) {
            found.add(equal.worker());
          }
        }
        entry = byFreeCapacity.lower(first);
      }
      return found;
    }

    private Entry first(Entry entry) {
      return byFreeCapacity.ceiling(
          new Entry(entry.accelerators(), entry.milliCores(), Long.MIN_VALUE, null));
    }

    /** Walks over its workers with the accelerators and processor time that a task needs. */
    Candidates candidates(Resources task) {
      return new Candidates(byFreeCapacity, task);
    }
  }

  /** Workers that may have room for a task, the fullest first. */
  static final class Candidates {

    private final TreeSet<Entry> byFreeCapacity;
    private final Resources task;
    private Entry next;
    private int visited;

    private Candidates(TreeSet<Entry> byRoom, Resources task) {
      this.byFreeCapacity = byRoom;
      this.task = task;
      this.next = first(task.accelerators());
    }

    /** Returns the next worker; null after the last. */
    WorkerSession next() {
      while (next != null && next.milliCores() < task.milliCores()) {
        // No other worker with as few accelerators free has the processor time.
        next = first(next.accelerators());
      }
      if (next == null) {
        return null;
      }
      WorkerSession worker = next.worker();
      visited++;
      next = byFreeCapacity.higher(next);
      return worker;
    }

    /** Returns how many workers it has looked at. */
    int visited() {
      return visited;
    }

    private Entry first(int accelerators) {
      visited++;
      return byFreeCapacity.ceiling(
          new Entry(accelerators, task.milliCores(), Long.MIN_VALUE, null));
    }
  }
}
