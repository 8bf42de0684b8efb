package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.Present;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepRecord;

/**
 * Puts the steps that wait for workers in order.
 *
 * <p>Answers a burst in which not all jobs can meet their objective: within a priority, jobs that
 * still can come first, the earliest objective first; jobs that are only worth a part follow.
 */
final class DemandQueue {

  /** An objective missed by less than this factor is still worth a part. */
  private static final int LATE_FACTOR = 3;

  private static final Comparator<Demand> ORDER =
      Comparator.comparingInt(Demand::priority)
          .thenComparingInt(Demand::lateness)
          .thenComparingLong(Demand::objectiveMillis)
          .thenComparing(demand -> demand.key().job())
          .thenComparingInt(demand -> demand.key().occurrence())
          .thenComparingInt(demand -> demand.key().step());

  private final ScopeState state;

  DemandQueue(ScopeState state) {
    this.state = state;
  }

  /** Returns the steps that wait, in the order in which they are to be placed. */
  List<Demand> waiting(Present present) {
    List<Demand> found = new ArrayList<>();
    state.examined(state.ledger.jobs().size());
    for (JobEntry entry : state.ledger.jobs()) {
      if (!entry.status().isFinal()) {
        collect(entry, present, found);
      }
    }
    found.sort(ORDER);
    return found;
  }

  /** Returns when the next occurrence of a waiting job is due; the largest value when none is. */
  long nextDueMillis(Present present) {
    long next = Long.MAX_VALUE;
    state.examined(state.ledger.jobs().size());
    for (JobEntry entry : state.ledger.jobs()) {
      Recurrence recurrence = entry.job().recurrence();
      if (entry.status().isFinal() || recurrence.equals(Recurrence.NONE)) {
        continue;
      }
      for (int number = 0; number < recurrence.occurrences(); number++) {
        long due = recurrence.dueMillis(number);
        if (due > present.wallMillis()) {
          next = Math.min(next, due);
          break;
        }
      }
    }
    return next;
  }

  private void collect(JobEntry entry, Present present, List<Demand> found) {
    Recurrence recurrence = entry.job().recurrence();
    for (int number = 0; number < recurrence.occurrences(); number++) {
      long due = recurrence.dueMillis(number);
      boolean isDue = recurrence.equals(Recurrence.NONE) || due <= present.wallMillis();
      if (isDue && !entry.doneOccurrences().contains(number)) {
        long begin = recurrence.equals(Recurrence.NONE) ? entry.job().submittedMillis() : due;
        collect(entry, number, begin, present, found);
      }
    }
  }

  private void collect(
      JobEntry entry, int occurrence, long begin, Present present, List<Demand> found) {
    List<StepRecord> steps = entry.occurrence(occurrence);
    QueueSpec queue = state.ledger.configuration().queue(entry.job().queue()).orElse(null);
    for (int number = 0; number < steps.size(); number++) {
      StepRecord step = steps.get(number);
      StepKey key = new StepKey(entry.job().id(), occurrence, number);
      boolean isReady =
          !step.isDone()
              && step.spec().dependsOn().stream().allMatch(earlier -> steps.get(earlier).isDone())
              && state.notBefore.getOrDefault(key, 0L) <= present.millis();
      List<Integer> tasks = isReady ? openTasks(key, step) : List.of();
      if (!tasks.isEmpty()) {
        found.add(demand(entry, key, step, tasks, begin, queue, present));
      }
    }
  }

  /** A gang needs workers for all members or for none. */
  private List<Integer> openTasks(StepKey key, StepRecord step) {
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
      QueueSpec queue,
      Present present) {
    double slack = queue == null ? 1 : queue.slackFactor();
    long latency = queue == null ? 0 : queue.latencyMillis();
    int priority = queue == null ? Integer.MAX_VALUE : queue.priority();
    long allowed = (long) (slack * entry.job().chainMillis()) + latency;
    long rest = step.spec().estimatedMillis();
    long objective = begin + allowed;
    int lateness = 0;
    if (present.wallMillis() + rest > objective) {
      boolean isLate = present.wallMillis() + rest <= begin + LATE_FACTOR * allowed;
      lateness = isLate ? 1 : 2;
    }
    return new Demand(key, entry, step, tasks, priority, lateness, objective);
  }
}
