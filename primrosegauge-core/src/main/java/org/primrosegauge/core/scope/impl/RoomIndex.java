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
final class RoomIndex {

  /** Longest time after which it is noticed that a worker is open, in milliseconds. */
  private static final long REFRESH_MILLIS = 50;

  /** Label of a section that takes in all workers. */
  private static final String ANY = "";

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

  private record SectionKey(ServiceId pool, String label) {}

  /** Workers of a service that have one label. */
  private static final class Section {

    private final Group all = new Group();
    private final Map<String, Group> racks = new LinkedHashMap<>();
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
  private final Map<SectionKey, Section> sections = new LinkedHashMap<>();
  private final Map<ServiceId, Totals> totals = new HashMap<>();
  private final Map<ServiceId, Long> idleSince = new HashMap<>();
  private final Map<WorkerSession, Long> numbers = new HashMap<>();
  private final Map<WorkerSession, Entry> entries = new HashMap<>();
  private Term term = Term.NONE;
  private long nextNumber;
  private long version;
  private int seen;
  private long refreshedMillis;
  private long nextOpeningMillis = Long.MAX_VALUE;

  RoomIndex(ScopeState state) {
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
    return sections.keySet().stream()
        .filter(section -> section.label().equals(ANY))
        .map(SectionKey::pool)
        .toList();
  }

  /** Returns all open workers of a service that have a label; an empty label stands for any. */
  Group workers(ServiceId pool, String label) {
    Section section = sections.get(new SectionKey(pool, label));
    return section == null ? new Group() : section.all;
  }

  /** Returns the open workers of one rack that have a label. */
  Group rack(ServiceId pool, String label, String rack) {
    Section section = sections.get(new SectionKey(pool, label));
    return section == null ? new Group() : section.racks.getOrDefault(rack, new Group());
  }

  /** Returns the open workers that have a label, rack by rack, the fullest rack first. */
  List<Group> racks(ServiceId pool, String label) {
    Section section = sections.get(new SectionKey(pool, label));
    if (section == null) {
      return List.of();
    }
    state.examined(section.racks.size());
    return section.racks.values().stream()
        .filter(rack -> !rack.isEmpty())
        .sorted(Comparator.comparingLong(Group::freeAccelerators))
        .toList();
  }

  /** Returns since when much of a service has been free; the largest value when it is not. */
  long idleSinceMillis(ServiceId pool) {
    return idleSince.getOrDefault(pool, Long.MAX_VALUE);
  }

  private void noteIdle(long nowMillis) {
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
    return refreshedMillis < nowMillis ? refreshedMillis + REFRESH_MILLIS : nextOpeningMillis;
  }

  /** Tells whether a worker may get something new now. */
  boolean isOpen(WorkerSession worker, long nowMillis) {
    return nowMillis >= worker.asideUntilMillis
        && worker.knowsClock()
        && !worker.draining
        && !worker.left
        && worker.lookFailures == 0
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
            || seen != state.sessions.size()
            || nowMillis >= nextOpeningMillis
            || nowMillis >= refreshedMillis + REFRESH_MILLIS;
    if (!isDue) {
      return;
    }
    if (isNewTerm) {
      idleSince.clear();
    }
    term = state.term;
    seen = state.sessions.size();
    refreshedMillis = nowMillis;
    nextOpeningMillis = Long.MAX_VALUE;
    totals.clear();
    forgetOthers();
    state.examined(seen);
    for (WorkerSession worker : state.sessions.values()) {
      totals.computeIfAbsent(worker.info.pool(), pool -> new Totals()).add(worker);
      if (worker.asideUntilMillis > nowMillis) {
        nextOpeningMillis = Math.min(nextOpeningMillis, worker.asideUntilMillis);
      }
      boolean isOpen = isOpen(worker, nowMillis);
      if (isOpen && !entries.containsKey(worker)) {
        open(worker);
      } else if (!isOpen && entries.containsKey(worker)) {
        close(worker);
      }
    }
    noteIdle(nowMillis);
  }

  private void forgetOthers() {
    state.examined(numbers.size());
    for (Iterator<WorkerSession> each = numbers.keySet().iterator(); each.hasNext(); ) {
      WorkerSession worker = each.next();
      if (!isCurrent.test(worker)) {
        each.remove();
        if (entries.containsKey(worker)) {
          close(worker);
        }
      }
    }
  }

  private void open(WorkerSession worker) {
    version++;
    numbers.computeIfAbsent(worker, each -> nextNumber++);
    Entry entry = entryOf(worker);
    entries.put(worker, entry);
    worker.roomListener = this::move;
    groupsOf(worker).forEach(group -> group.add(entry));
  }

  private void close(WorkerSession worker) {
    version++;
    Entry entry = entries.remove(worker);
    worker.roomListener = WorkerSession.NO_LISTENER;
    groupsOf(worker).forEach(group -> group.remove(entry));
  }

  private void move(WorkerSession worker) {
    Entry before = entries.get(worker);
    Entry after = entryOf(worker);
    if (before.equals(after)) {
      return;
    }
    entries.put(worker, after);
    for (Group group : groupsOf(worker)) {
      group.remove(before);
      group.add(after);
    }
  }

  private Entry entryOf(WorkerSession worker) {
    Resources free = worker.free();
    return new Entry(free.accelerators(), free.milliCores(), numbers.get(worker), worker);
  }

  private List<Group> groupsOf(WorkerSession worker) {
    List<Group> groups = new ArrayList<>();
    addGroups(worker, ANY, groups);
    worker.info.labels().stream()
        .filter(label -> !label.equals(ANY))
        .distinct()
        .forEach(label -> addGroups(worker, label, groups));
    return groups;
  }

  private void addGroups(WorkerSession worker, String label, List<Group> groups) {
    Section section =
        sections.computeIfAbsent(new SectionKey(worker.info.pool(), label), key -> new Section());
    groups.add(section.all);
    groups.add(section.racks.computeIfAbsent(worker.info.rack(), rack -> new Group()));
  }

  /** Open workers in the order of their free accelerators, then of their free processor time. */
  static final class Group {

    private final TreeSet<Entry> byRoom = new TreeSet<>(Entry.ORDER);
    private Resources capacity = Resources.NONE;
    private long freeAccelerators;
    private long freeMilliCores;

    private void add(Entry entry) {
      byRoom.add(entry);
      capacity = capacity.plus(entry.worker().info.capacity());
      freeAccelerators += entry.accelerators();
      freeMilliCores += entry.milliCores();
    }

    private void remove(Entry entry) {
      byRoom.remove(entry);
      capacity = capacity.minus(entry.worker().info.capacity());
      freeAccelerators -= entry.accelerators();
      freeMilliCores -= entry.milliCores();
    }

    boolean isEmpty() {
      return byRoom.isEmpty();
    }

    int size() {
      return byRoom.size();
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
    boolean mayHold(Resources task, int count) {
      return freeAccelerators >= (long) task.accelerators() * count
          && freeMilliCores >= task.milliCores() * count;
    }

    /** Returns its workers, the fullest first. */
    List<WorkerSession> members() {
      return byRoom.stream().map(Entry::worker).toList();
    }

    /** Returns its emptiest workers, the emptiest first; equal ones as they came. */
    List<WorkerSession> emptiest(int count) {
      List<WorkerSession> found = new ArrayList<>();
      Entry entry = byRoom.isEmpty() ? null : byRoom.last();
      while (entry != null && found.size() < count) {
        Entry first = first(entry);
        for (Entry equal : byRoom.subSet(first, true, entry, true)) {
          if (found.size() < count) {
            found.add(equal.worker());
          }
        }
        entry = byRoom.lower(first);
      }
      return found;
    }

    private Entry first(Entry entry) {
      return byRoom.ceiling(
          new Entry(entry.accelerators(), entry.milliCores(), Long.MIN_VALUE, null));
    }

    /** Walks over its workers with the accelerators and processor time that a task needs. */
    Candidates candidates(Resources task) {
      return new Candidates(byRoom, task);
    }
  }

  /** Workers that may have room for a task, the fullest first. */
  static final class Candidates {

    private final TreeSet<Entry> byRoom;
    private final Resources task;
    private Entry next;
    private int steps;

    private Candidates(TreeSet<Entry> byRoom, Resources task) {
      this.byRoom = byRoom;
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
      steps++;
      next = byRoom.higher(next);
      return worker;
    }

    /** Returns how many workers it has looked at. */
    int steps() {
      return steps;
    }

    private Entry first(int accelerators) {
      steps++;
      return byRoom.ceiling(new Entry(accelerators, task.milliCores(), Long.MIN_VALUE, null));
    }
  }
}
