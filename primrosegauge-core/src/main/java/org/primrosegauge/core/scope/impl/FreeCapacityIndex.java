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
 * Index of the schedulable workers by service, label and rack. Each group is ordered by free
 * capacity.
 *
 * <p>Free capacity follows each run and reservation at once. Which workers are schedulable is
 * refreshed at intervals only, so a caller that picks a worker has to check {@link #isSchedulable}
 * again.
 *
 * <p>Not thread-safe.
 */
final class FreeCapacityIndex {

  /**
   * Interval after which the set of schedulable workers is refreshed at the latest, in
   * milliseconds.
   */
  private static final long REFRESH_INTERVAL_MILLIS = 50;

  /** Label that stands for all workers of a service. */
  private static final String ANY_LABEL = "";

  /**
   * A service is idle when at least this share of its processor time and of its accelerators is
   * free.
   */
  private static final long IDLE_PERCENT = 45;

  private static final long PERCENT = 100;

  /** A worker with the free capacity by which its groups order it. */
  private record Entry(int accelerators, long milliCores, long number, WorkerSession worker) {

    static final Comparator<Entry> ORDER =
        Comparator.comparingInt(Entry::accelerators)
            .thenComparingLong(Entry::milliCores)
            .thenComparingLong(Entry::number);
  }

  private record LabelKey(ServiceId pool, String label) {}

  /** Schedulable workers of a service that have one label. */
  private static final class LabelGroups {

    private final WorkerGroup all = new WorkerGroup();
    private final Map<String, WorkerGroup> racks = new LinkedHashMap<>();
  }

  /** Total and free capacity of the workers of a service. */
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

  /** Whether something may have changed since the latest refresh. */
  private boolean isRefreshPostponed;

  private long nextQuarantineEndMillis = Long.MAX_VALUE;

  FreeCapacityIndex(ScopeState state) {
    this.state = state;
    this.isCurrent = worker -> state.sessions.get(worker.info.key()) == worker;
  }

  /** Returns a version number that changes whenever a worker is added or removed. */
  long version() {
    return version;
  }

  /** Returns the services that have had schedulable workers. */
  Collection<ServiceId> pools() {
    return groupsByLabel.keySet().stream()
        .filter(labelGroups -> labelGroups.label().equals(ANY_LABEL))
        .map(LabelKey::pool)
        .toList();
  }

  /**
   * Returns the schedulable workers of a service that have a label; the empty label matches all.
   */
  WorkerGroup workers(ServiceId pool, String label) {
    LabelGroups labelGroups = groupsByLabel.get(new LabelKey(pool, label));
    return labelGroups == null ? new WorkerGroup() : labelGroups.all;
  }

  /** Returns the schedulable workers of one rack that have a label. */
  WorkerGroup rack(ServiceId pool, String label, String rack) {
    LabelGroups labelGroups = groupsByLabel.get(new LabelKey(pool, label));
    return labelGroups == null
        ? new WorkerGroup()
        : labelGroups.racks.getOrDefault(rack, new WorkerGroup());
  }

  /**
   * Returns the schedulable workers that have a label, grouped by rack; racks with the fewest free
   * accelerators come first.
   */
  List<WorkerGroup> racks(ServiceId pool, String label) {
    LabelGroups labelGroups = groupsByLabel.get(new LabelKey(pool, label));
    if (labelGroups == null) {
      return List.of();
    }
    state.examined(labelGroups.racks.size());
    return labelGroups.racks.values().stream()
        .filter(rack -> !rack.isEmpty())
        .sorted(Comparator.comparingLong(WorkerGroup::freeAccelerators))
        .toList();
  }

  /**
   * Returns the monotonic time since which a service has been idle, in milliseconds; {@link
   * Long#MAX_VALUE} if it is not idle.
   */
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

  /**
   * Returns the monotonic time at which the set of schedulable workers may change, in milliseconds.
   */
  long nextRefreshMillis() {
    return isRefreshPostponed ? refreshedMillis + REFRESH_INTERVAL_MILLIS : nextQuarantineEndMillis;
  }

  /** Tells whether a worker may be given new runs now. */
  boolean isSchedulable(WorkerSession worker, long nowMillis) {
    return nowMillis >= worker.quarantinedUntilMillis
        && worker.knowsClock()
        && !worker.draining
        && !worker.removalProposed
        && worker.isResponsive(nowMillis)
        && !worker.renewalSuspended
        && !worker.isSilent(nowMillis, state.settings.silenceTimeoutMillis())
        && !state.ledger.domainsOut().contains(worker.info.domain())
        && isCurrent.test(worker);
  }

  /** Refreshes the set of schedulable workers if that is due. */
  void refresh(long nowMillis) {
    boolean isNewTerm = !term.equals(state.term);
    boolean isDue =
        isNewTerm
            || sessionCount != state.sessions.size()
            || nowMillis >= nextQuarantineEndMillis
            || nowMillis >= refreshedMillis + REFRESH_INTERVAL_MILLIS;
    isRefreshPostponed = !isDue;
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
      boolean isSchedulable = isSchedulable(worker, nowMillis);
      if (isSchedulable && !entries.containsKey(worker)) {
        addWorker(worker);
      } else if (!isSchedulable && entries.containsKey(worker)) {
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
    LabelGroups labelGroups =
        groupsByLabel.computeIfAbsent(
            new LabelKey(worker.info.pool(), label), key -> new LabelGroups());
    groups.add(labelGroups.all);
    groups.add(labelGroups.racks.computeIfAbsent(worker.info.rack(), rack -> new WorkerGroup()));
  }

  /** Schedulable workers ordered by free accelerators, then by free processor time. */
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

    /** Returns the total capacity of the workers, whether free or not. */
    Resources capacity() {
      return capacity;
    }

    long freeAccelerators() {
      return freeAccelerators;
    }

    long freeMilliCores() {
      return freeMilliCores;
    }

    /**
     * Returns whether the free capacity of the group, summed over its workers, suffices for a
     * number of tasks. Necessary but not sufficient: it may be fragmented.
     */
    boolean mayFit(Resources task, int count) {
      return freeAccelerators >= (long) task.accelerators() * count
          && freeMilliCores >= task.milliCores() * count;
    }

    /** Returns the workers, those with the least free capacity first. */
    List<WorkerSession> members() {
      return byFreeCapacity.stream().map(Entry::worker).toList();
    }

    /**
     * Returns the workers with the most free capacity, in descending order; ties in order of
     * arrival.
     */
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

    /**
     * Returns an iterator over the workers that have the free accelerators and processor time of a
     * task.
     */
    Candidates candidates(Resources task) {
      return new Candidates(byFreeCapacity, task);
    }
  }

  /**
   * Iterator over the workers that may have capacity for a task, those with the least free capacity
   * first.
   */
  static final class Candidates {

    private final TreeSet<Entry> byFreeCapacity;
    private final Resources task;
    private Entry next;
    private int visited;

    private Candidates(TreeSet<Entry> byFreeCapacity, Resources task) {
      this.byFreeCapacity = byFreeCapacity;
      this.task = task;
      this.next = first(task.accelerators());
    }

    /** Returns the next worker; null after the last. */
    WorkerSession next() {
      while (next != null && next.milliCores() < task.milliCores()) {
        // No further worker with this number of free accelerators has enough processor time.
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

    /** Returns the number of index entries visited so far. */
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
