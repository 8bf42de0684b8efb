package org.primrosegauge.standin.scope;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The one thread of a leader in virtual time: it handles one event after the other, each takes its
 * time, and events that come meanwhile wait. Events that cost nothing are handled at once.
 *
 * <p>Planning follows once for a batch of events, and leaves as much time to others as the last
 * pass took, as at a real leader.
 *
 * <p>Not thread-safe; owned by one {@link EmulatedScope}. Life-cycle: any number of {@link #offer}
 * and {@link #runUntil}; {@link #restart} when another instance begins to lead.
 */
final class EmulatedThread {

  /** Handles an event and returns its effects, which others see once it has been handled. */
  @FunctionalInterface
  interface Event {
    Runnable handle();
  }

  /** Runs effects at a time, in milliseconds. */
  @FunctionalInterface
  interface Schedule {
    void at(long millis, Runnable effects);
  }

  /**
   * What the thread needs of its scope.
   *
   * @param examined tells how many things the present leader has looked at so far
   * @param plan gives waiting steps their workers
   * @param look looks at the workers for which that is due
   * @param schedule runs effects later
   */
  record Ports(LongSupplier examined, Event plan, Event look, Schedule schedule) {}

  private static final int MOST_EVENTS_IN_BATCH = 256;
  private static final long LONGEST_BATCH_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final long LONGEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private record Entry(EventKind kind, long atMillis, Event event) {}

  private final EventMeter meter;
  private final Ports ports;
  private final Queue<Entry> entries = new ArrayDeque<>();
  private final Map<EventKind, Integer> handled = new EnumMap<>(EventKind.class);
  private final Map<EventKind, Integer> late = new EnumMap<>(EventKind.class);
  private long freeAtNanos;
  private boolean isFresh;
  private boolean isPlanWanted;
  private long planNotBeforeNanos;
  private long busyNanos;
  private long longestWaitMillis;
  private long longestEventNanos;
  private long examinedInAll;

  /** Creates a thread that waits for events. */
  EmulatedThread(EventMeter meter, Ports ports) {
    this.meter = meter;
    this.ports = ports;
  }

  /** Begins anew at another instance: what waited at the earlier one is lost. */
  void restart(long nowMillis) {
    entries.clear();
    isFresh = false;
    isPlanWanted = false;
    freeAtNanos = TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  /** Hands in an event. */
  void offer(EventKind kind, long nowMillis, Event event) {
    if (meter.isFree()) {
      event.handle().run();
      return;
    }
    entries.add(new Entry(kind, nowMillis, event));
  }

  /** Tells whether an event of a kind waits. */
  boolean hasWaiting(EventKind kind) {
    return entries.stream().anyMatch(entry -> entry.kind() == kind);
  }

  /** Handles what waits, as far as the thread gets by a time. */
  void runUntil(long nowMillis) {
    long untilNanos = TimeUnit.MILLISECONDS.toNanos(nowMillis);
    while (freeAtNanos <= untilNanos && hasWork(untilNanos)) {
      runBatch(nowMillis);
      settle(nowMillis);
    }
  }

  private boolean hasWork(long untilNanos) {
    return !entries.isEmpty() || isPlanWanted && planNotBeforeNanos <= untilNanos;
  }

  private void runBatch(long nowMillis) {
    long endNanos = Math.max(freeAtNanos, oldestNanos()) + LONGEST_BATCH_NANOS;
    int ran = 0;
    while (!entries.isEmpty() && ran < MOST_EVENTS_IN_BATCH && freeAtNanos < endNanos) {
      handle(entries.poll(), nowMillis);
      isFresh = true;
      isPlanWanted = true;
      ran++;
    }
  }

  private long oldestNanos() {
    return entries.isEmpty() ? 0 : TimeUnit.MILLISECONDS.toNanos(entries.peek().atMillis());
  }

  private void settle(long nowMillis) {
    boolean isDue = isPlanWanted && freeAtNanos >= planNotBeforeNanos;
    boolean isOverdue = entries.isEmpty() && !isFresh;
    if (isDue || isOverdue) {
      freeAtNanos = Math.max(freeAtNanos, planNotBeforeNanos);
      isPlanWanted = false;
      long nanos = handle(new Entry(EventKind.PLAN, nowMillis, ports.plan()), nowMillis);
      planNotBeforeNanos = freeAtNanos + Math.min(nanos, LONGEST_PAUSE_NANOS);
    } else if (isFresh) {
      handle(new Entry(EventKind.RENEWAL, nowMillis, ports.look()), nowMillis);
    }
    isFresh = false;
  }

  /** Returns how long the event took, in nanoseconds. */
  private long handle(Entry entry, long nowMillis) {
    long beginNanos = Math.max(freeAtNanos, TimeUnit.MILLISECONDS.toNanos(entry.atMillis()));
    final long waitMillis = TimeUnit.NANOSECONDS.toMillis(beginNanos) - entry.atMillis();
    final long before = ports.examined().getAsLong();
    meter.begin();
    Runnable effects = entry.event().handle();
    long looked = Math.max(0, ports.examined().getAsLong() - before);
    long nanos = meter.end(entry.kind(), looked);
    freeAtNanos = beginNanos + nanos;
    note(entry.kind(), waitMillis, looked, nanos);
    long doneMillis = TimeUnit.NANOSECONDS.toMillis(freeAtNanos);
    ports.schedule().at(Math.max(nowMillis, doneMillis), effects);
    return nanos;
  }

  private void note(EventKind kind, long waitMillis, long looked, long nanos) {
    handled.merge(kind, 1, Integer::sum);
    if (waitMillis > kind.patienceMillis()) {
      late.merge(kind, 1, Integer::sum);
    }
    busyNanos += nanos;
    examinedInAll += looked;
    longestWaitMillis = Math.max(longestWaitMillis, waitMillis);
    longestEventNanos = Math.max(longestEventNanos, nanos);
  }

  /** Returns what was seen so far; the oldest event that still waits counts too. */
  ThreadFigures figures(long nowMillis) {
    long oldest = entries.isEmpty() ? nowMillis : entries.peek().atMillis();
    return new ThreadFigures(
        Map.copyOf(handled),
        Map.copyOf(late),
        Math.max(longestWaitMillis, nowMillis - oldest),
        TimeUnit.NANOSECONDS.toMicros(longestEventNanos),
        TimeUnit.NANOSECONDS.toMillis(busyNanos),
        examinedInAll);
  }
}
