package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepRecord;

/**
 * Queue of the steps that wait for workers, in the order in which they are to be placed.
 *
 * <p>In a burst not all jobs can meet their objective. Within a priority, jobs that still can meet
 * it come first, earliest deadline first, followed by jobs whose result is only worth a part.
 *
 * <p>An update examines only the jobs that have changed or whose recheck is due.
 *
 * <p>Not thread-safe.
 */
final class DemandQueue {

  private static final Comparator<Demand> ORDER =
      Comparator.comparingInt(Demand::priority)
          .thenComparingInt(Demand::lateness)
          .thenComparingLong(Demand::objectiveMillis)
          .thenComparing(demand -> demand.key().job())
          .thenComparingInt(demand -> demand.key().occurrence())
          .thenComparingInt(demand -> demand.key().step());

  /**
   * Largest number of occurrences of a job that have begun and wait for workers, or for the starts
   * on them. Any number may be due; they begin as fast as those before them are started.
   */
  private static final int MAX_WAITING_OCCURRENCES = 64;

  /** The same as a number of tasks, unless one occurrence has more. */
  private static final int MAX_WAITING_TASKS = 4_096;

  /** A time at which a job has to be examined again. */
  private record Recheck(long atMillis, JobId job) {

    static final Comparator<Recheck> ORDER =
        Comparator.comparingLong(Recheck::atMillis).thenComparing(Recheck::job);
  }

  private final ScopeState state;
  private final JobObjectives objectives;
  private final Headroom headroom;
  private final Map<JobId, List<Demand>> byJob = new HashMap<>();
  private final TreeSet<Demand> ordered = new TreeSet<>(ORDER);
  private final TreeSet<Recheck> monotonicRechecks = new TreeSet<>(Recheck.ORDER);
  private final TreeSet<Recheck> wallClockRechecks = new TreeSet<>(Recheck.ORDER);
  private Term term = Term.NONE;
  private Revision revision = Revision.NONE;

  DemandQueue(ScopeState state, Headroom headroom) {
    this.state = state;
    this.objectives = new JobObjectives(state);
    this.headroom = headroom;
  }

  /** Applies the changes since the last call. */
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

  /** Marks all jobs for examination by the next update. */
  void refreshAll() {
    state.changedJobs.addAll(byJob.keySet());
  }

  /** Returns what a step still waits for; empty if it does not wait for workers any more. */
  Optional<Demand> find(StepKey key) {
    List<Demand> ofJob = byJob.getOrDefault(key.job(), List.of());
    state.examined(ofJob.size());
    return ofJob.stream().filter(demand -> demand.key().equals(key)).findFirst();
  }

  /** Returns the waiting steps in placement order. */
  SortedSet<Demand> waiting() {
    return ordered;
  }

  /** Returns the waiting steps ranked behind a step, in placement order. */
  SortedSet<Demand> waitingAfter(Demand earlier) {
    return ordered.tailSet(earlier, false);
  }

  /** Returns the urgent steps up to and including a step, in placement order. */
  List<Demand> urgentUntil(Demand later) {
    List<Demand> urgent =
        ordered.headSet(later, true).stream()
            .takeWhile(demand -> demand.priority() <= ScopeState.URGENT)
            .toList();
    state.examined(urgent.size());
    return urgent;
  }

  /**
   * Returns the monotonic time of the next recheck, in milliseconds; {@link Long#MAX_VALUE} if
   * there is none.
   */
  long nextRecheckMillis(ClockReading now) {
    long next = monotonicRechecks.isEmpty() ? Long.MAX_VALUE : monotonicRechecks.first().atMillis();
    if (!wallClockRechecks.isEmpty()) {
      long pause = Math.max(1, wallClockRechecks.first().atMillis() - now.wallMillis());
      next = Math.min(next, now.monotonicMillis() + pause);
    }
    return next;
  }

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

  private void markDueChanged(TreeSet<Recheck> rechecks, long nowMillis) {
    while (!rechecks.isEmpty() && rechecks.first().atMillis() <= nowMillis) {
      state.changedJobs.add(rechecks.pollFirst().job());
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
    Map<StepKey, StepWait> stepWaits = new HashMap<>();
    before.forEach(demand -> stepWaits.put(demand.key(), demand.stepWait()));
    List<Demand> found = new ArrayList<>();
    collect(entry, stepWaits, now, found);
    byJob.put(id, found);
    ordered.addAll(found);
  }

  private void collect(
      JobEntry entry, Map<StepKey, StepWait> stepWaits, ClockReading now, List<Demand> found) {
    long allowedMillis = objectives.allowedMillis(entry);
    for (int begun : List.copyOf(entry.occurrences().keySet())) {
      collect(entry, begun, allowedMillis, stepWaits, now, found);
    }
    long taskCount = Math.max(1, entry.job().taskCount());
    long waiting =
        found.stream().filter(DemandQueue::isOfWaitingOccurrence).count()
            + state.unstartedRuns(entry.job().id()) / taskCount;
    long limit = MAX_WAITING_TASKS / taskCount;
    limit = Math.max(1, Math.min(MAX_WAITING_OCCURRENCES, limit));
    for (; waiting < limit && entry.mayBeginNext(); waiting++) {
      int next = entry.begunOccurrences();
      long dueMillis = entry.job().recurrence().dueMillis(next);
      if (dueMillis > now.wallMillis()) {
        wallClockRechecks.add(new Recheck(dueMillis, entry.job().id()));
        return;
      }
      collect(entry, next, allowedMillis, stepWaits, now, found);
    }
  }

  private void collect(
      JobEntry entry,
      int occurrence,
      long allowedMillis,
      Map<StepKey, StepWait> stepWaits,
      ClockReading now,
      List<Demand> found) {
    List<StepRecord> steps = entry.occurrence(occurrence);
    long beginMillis = JobObjectives.beginMillis(entry, occurrence);
    state.examined(steps.size());
    for (int number = 0; number < steps.size(); number++) {
      StepRecord step = steps.get(number);
      StepKey key = new StepKey(entry.job().id(), occurrence, number);
      boolean isReady =
          !step.isDone()
              && step.spec().dependsOn().stream().allMatch(earlier -> steps.get(earlier).isDone())
              && !isBackingOff(key, now.monotonicMillis());
      List<Integer> tasks = isReady ? unplacedTasks(key, step) : List.of();
      if (!tasks.isEmpty()) {
        StepWait wait = stepWaits.getOrDefault(key, new StepWait(now.monotonicMillis()));
        found.add(
            demand(entry, key, step, tasks, beginMillis, allowedMillis, wait, now.wallMillis()));
      }
    }
  }

  /** Tells whether a demand is for the first step of an occurrence of which nothing has started. */
  private static boolean isOfWaitingOccurrence(Demand demand) {
    return demand.key().step() == 0 && demand.tasks().size() == demand.spec().count();
  }

  private boolean isBackingOff(StepKey key, long nowMillis) {
    long until = state.notBefore.getOrDefault(key, 0L);
    if (until <= nowMillis) {
      return false;
    }
    monotonicRechecks.add(new Recheck(until, key.job()));
    return true;
  }

  /** Returns the tasks that need a worker; for a gang, all members or none. */
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
      long beginMillis,
      long allowedMillis,
      StepWait wait,
      long wallMillis) {
    int priority = state.priorityOf(entry);
    long remainingMillis = state.expectedMillis(entry, step.spec());
    long lateFrom = beginMillis + allowedMillis - remainingMillis;
    long worthlessFrom = beginMillis + QueueSpec.LATE_FACTOR * allowedMillis - remainingMillis;
    int lateness = wallMillis <= lateFrom ? 0 : wallMillis <= worthlessFrom ? 1 : 2;
    if (lateness < 2) {
      long changesAt = 1 + (lateness == 0 ? lateFrom : worthlessFrom);
      wallClockRechecks.add(new Recheck(changesAt, key.job()));
    }
    return new Demand(
        key,
        entry,
        step,
        tasks,
        priority,
        lateness,
        beginMillis + allowedMillis,
        remainingMillis,
        wait);
  }
}
