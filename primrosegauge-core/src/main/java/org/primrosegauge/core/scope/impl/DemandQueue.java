package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepRecord;

/**
 * Keeps the steps that wait for workers in order.
 *
 * <p>Answers a burst in which not all jobs can meet their objective: within a priority, jobs that
 * still can come first, the earliest objective first; jobs that are only worth a part follow.
 *
 * <p>Only jobs that have changed, or whose time has come, are looked at again.
 *
 * <p>Not thread-safe.
 */
final class DemandQueue {

  /** An objective missed by less than this factor is still worth a part. */
  private static final int MAX_OVERRUN_FACTOR = 3;

  private static final Comparator<Demand> ORDER =
      Comparator.comparingInt(Demand::priority)
          .thenComparingInt(Demand::lateness)
          .thenComparingLong(Demand::objectiveMillis)
          .thenComparing(demand -> demand.key().job())
          .thenComparingInt(demand -> demand.key().occurrence())
          .thenComparingInt(demand -> demand.key().step());

  /** A time at which a job has to be looked at again. */
  private record Recheck(long atMillis, JobId job) {

    static final Comparator<Recheck> ORDER =
        Comparator.comparingLong(Recheck::atMillis).thenComparing(Recheck::job);
  }

  private final ScopeState state;
  private final Headroom headroom;
  private final Map<JobId, List<Demand>> byJob = new HashMap<>();
  private final TreeSet<Demand> ordered = new TreeSet<>(ORDER);
  private final TreeSet<Recheck> monotonicRechecks = new TreeSet<>(Recheck.ORDER);
  private final TreeSet<Recheck> wallClockRechecks = new TreeSet<>(Recheck.ORDER);
  private Term term = Term.NONE;
  private Revision revision = Revision.NONE;

  DemandQueue(ScopeState state, Headroom headroom) {
    this.state = state;
    this.headroom = headroom;
  }

  /** Takes in what has changed since the last call. */
  void update(ClockReading now) {
    if (!term.equals(state.term)) {
      reset();
    }
    if (!revision.equals(state.ledger.configuration().revision())) {
      revision = state.ledger.configuration().revision();
      refreshAll();
    }
    markDueChanged(monotonicRechecks, now.monotonicMillis());
    markDueChanged(wallClockRechecks, now.wallMillis());
    state.examined(state.changedJobs.size());
    for (JobId job : state.changedJobs) {
      refresh(job, now);
    }
    state.changedJobs.clear();
  }

  /** Looks at all jobs again with the next update. */
  void refreshAll() {
    state.changedJobs.addAll(byJob.keySet());
  }

  /** Returns the steps that wait, in the order in which they are to be placed. */
  SortedSet<Demand> waiting() {
    return ordered;
  }

  /** Returns the steps that wait and are placed after another one, in their order. */
  SortedSet<Demand> waitingAfter(Demand earlier) {
    return ordered.tailSet(earlier, false);
  }

  /** Returns the urgent steps up to another one, in their order. */
  List<Demand> urgentUntil(Demand later) {
    List<Demand> urgent =
        ordered.headSet(later, true).stream()
            .takeWhile(demand -> demand.priority() <= ScopeState.URGENT)
            .toList();
    state.examined(urgent.size());
    return urgent;
  }

  /** Returns when a job has to be looked at again; the largest value when none has to. */
  long nextRecheckMillis(ClockReading now) {
    long next = monotonicRechecks.isEmpty() ? Long.MAX_VALUE : monotonicRechecks.first().atMillis();
    if (!wallClockRechecks.isEmpty()) {
      long pause = Math.max(1, wallClockRechecks.first().atMillis() - now.wallMillis());
      next = Math.min(next, now.monotonicMillis() + pause);
    }
    return next;
  }

  // Changes

  private void reset() {
    term = state.term;
    byJob.clear();
    ordered.clear();
    monotonicRechecks.clear();
    wallClockRechecks.clear();
    for (JobEntry entry : state.ledger.unfinishedJobs()) {
      state.changedJobs.add(entry.job().id());
    }
  }

  private void markDueChanged(TreeSet<Recheck> wakes, long nowMillis) {
    while (!wakes.isEmpty() && wakes.first().atMillis() <= nowMillis) {
      state.changedJobs.add(wakes.pollFirst().job());
    }
  }

  private void refresh(JobId id, ClockReading now) {
    List<Demand> before = byJob.getOrDefault(id, List.of());
    before.forEach(ordered::remove);
    JobEntry entry = state.ledger.job(id).orElse(null);
    if (entry == null || entry.status().isFinal()) {
      byJob.remove(id);
      return;
    }
    if (!byJob.containsKey(id)) {
      headroom.recordArrival(entry);
    }
    Map<StepKey, StepWait> waits = new HashMap<>();
    before.forEach(demand -> waits.put(demand.key(), demand.stepWait()));
    List<Demand> found = new ArrayList<>();
    collect(entry, waits, now, found);
    byJob.put(id, found);
    ordered.addAll(found);
  }

  private void collect(
      JobEntry entry, Map<StepKey, StepWait> waits, ClockReading now, List<Demand> found) {
    Recurrence recurrence = entry.job().recurrence();
    boolean isOnce = recurrence.equals(Recurrence.NONE);
    for (int number = 0; number < recurrence.occurrences(); number++) {
      state.examined(1);
      long due = recurrence.dueMillis(number);
      if (!isOnce && due > now.wallMillis()) {
        wallClockRechecks.add(new Recheck(due, entry.job().id()));
        return;
      }
      if (!entry.doneOccurrences().contains(number)) {
        long begin = isOnce ? entry.job().submittedMillis() : due;
        collect(entry, number, begin, waits, now, found);
      }
    }
  }

  private void collect(
      JobEntry entry,
      int occurrence,
      long begin,
      Map<StepKey, StepWait> waits,
      ClockReading now,
      List<Demand> found) {
    List<StepRecord> steps = entry.occurrence(occurrence);
    for (int number = 0; number < steps.size(); number++) {
      StepRecord step = steps.get(number);
      StepKey key = new StepKey(entry.job().id(), occurrence, number);
      boolean isReady =
          !step.isDone()
              && step.spec().dependsOn().stream().allMatch(earlier -> steps.get(earlier).isDone())
              && !isBackingOff(key, now.monotonicMillis());
      List<Integer> tasks = isReady ? unplacedTasks(key, step) : List.of();
      if (!tasks.isEmpty()) {
        StepWait wait = waits.getOrDefault(key, new StepWait(now.monotonicMillis()));
        found.add(demand(entry, key, step, tasks, begin, wait, now.wallMillis()));
      }
    }
  }

  private boolean isBackingOff(StepKey key, long nowMillis) {
    long until = state.notBefore.getOrDefault(key, 0L);
    if (until <= nowMillis) {
      return false;
    }
    monotonicRechecks.add(new Recheck(until, key.job()));
    return true;
  }

  /** A gang needs workers for all members or for none. */
  private List<Integer> unplacedTasks(StepKey key, StepRecord step) {
    boolean isGangBusy = step.spec().gang() && (step.isOpen() || state.isProposed(key));
    if (isGangBusy) {
      return List.of();
    }
    state.examined(step.tasks().size());
    return IntStream.range(0, step.tasks().size())
        .filter(index -> !step.task(index).isDone() && !step.task(index).isOpen())
        .filter(index -> !state.isProposed(key.task(index)))
        .boxed()
        .toList();
  }

  private Demand demand(
      JobEntry entry,
      StepKey key,
      StepRecord step,
      List<Integer> tasks,
      long begin,
      StepWait wait,
      long wallMillis) {
    QueueSpec queue = state.ledger.configuration().queue(entry.job().queue()).orElse(null);
    double slack = queue == null ? 1 : queue.slackFactor();
    long latency = queue == null ? 0 : queue.latencyMillis();
    int priority = queue == null ? Integer.MAX_VALUE : queue.priority();
    long allowed = (long) (slack * entry.job().criticalPathMillis()) + latency;
    long rest = step.spec().estimatedMillis();
    long lateFrom = begin + allowed - rest;
    long worthlessFrom = begin + MAX_OVERRUN_FACTOR * allowed - rest;
    int lateness = wallMillis <= lateFrom ? 0 : wallMillis <= worthlessFrom ? 1 : 2;
    if (lateness < 2) {
      long changesAt = 1 + (lateness == 0 ? lateFrom : worthlessFrom);
      wallClockRechecks.add(new Recheck(changesAt, key.job()));
    }
    return new Demand(key, entry, step, tasks, priority, lateness, begin + allowed, wait);
  }
}
