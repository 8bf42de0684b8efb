package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.StepKey;

/**
 * Keeps workers free for gangs that wait, until enough runs there have ended.
 *
 * <p>Answers many small tasks that take each slot as it comes free, so that a gang never finds all
 * its slots at once. What is ranked behind such a gang may use its workers only if it ends before
 * the gang can start: conservative backfilling.
 *
 * <p>Not thread-safe; holds last until the planner begins at the first gang again.
 */
final class BackfillReservations {

  private static final int MAX_RESERVED_GANGS = 4;

  /** Time for which the choice of a gang's workers stands, in milliseconds. */
  private static final long CHOICE_TTL_MILLIS = 200;

  private record Slot(WorkerSession worker, long freeAtMillis) {}

  /** The workers chosen for a gang; none when it fits on no group. */
  private record Choice(List<Slot> slots, int tasks, long createdMillis) {

    boolean isValidFor(Demand gang, long nowMillis) {
      return tasks == gang.tasks().size() && nowMillis < createdMillis + CHOICE_TTL_MILLIS;
    }
  }

  private final ScopeState state;
  private final Map<StepKey, Choice> choices = new HashMap<>();
  private final Map<WorkerSession, Long> reservedUntil = new HashMap<>();
  private int reservedGangs;

  BackfillReservations(ScopeState state) {
    this.state = state;
  }

  /** Forgets all that was chosen before. */
  void reset() {
    choices.clear();
    reservedUntil.clear();
    reservedGangs = 0;
  }

  /** Releases all workers. */
  void releaseAll(long nowMillis) {
    reservedUntil.clear();
    reservedGangs = 0;
    state.examined(choices.size());
    choices.values().removeIf(choice -> nowMillis >= choice.createdMillis() + CHOICE_TTL_MILLIS);
  }

  /** Tells whether a worker is kept from a demand that is ranked behind the gang that it is for. */
  boolean withholds(Demand demand, WorkerSession worker, long nowMillis) {
    Long until = reservedUntil.get(worker);
    return until != null && nowMillis + demand.spec().estimatedMillis() > until;
  }

  /**
   * Holds workers of the group on which a gang can start soonest.
   *
   * @param groups workers of which one group has to hold the whole gang
   */
  void reserve(Demand gang, Supplier<List<List<WorkerSession>>> groups, long nowMillis) {
    if (reservedGangs >= MAX_RESERVED_GANGS) {
      return;
    }
    Choice choice = choices.get(gang.key());
    if (choice == null || !choice.isValidFor(gang, nowMillis)) {
      List<Slot> slots = choose(gang, groups.get(), nowMillis);
      choice = new Choice(slots, gang.tasks().size(), nowMillis);
      choices.put(gang.key(), choice);
    }
    if (choice.slots().isEmpty()) {
      return;
    }
    reservedGangs++;
    long start = startOf(choice.slots());
    state.examined(choice.slots().size());
    choice.slots().forEach(slot -> reservedUntil.merge(slot.worker(), start, Math::max));
  }

  private List<Slot> choose(Demand gang, List<List<WorkerSession>> groups, long nowMillis) {
    List<Slot> best = List.of();
    for (List<WorkerSession> group : groups) {
      List<Slot> slots = earliestSlots(gang, group, nowMillis);
      boolean isSooner = !slots.isEmpty() && (best.isEmpty() || startOf(slots) < startOf(best));
      best = isSooner ? slots : best;
    }
    return best;
  }

  private static long startOf(List<Slot> slots) {
    return slots.get(slots.size() - 1).freeAtMillis();
  }

  /** Returns the slots for all tasks that come free first, in their order; none if too few do. */
  private List<Slot> earliestSlots(Demand gang, List<WorkerSession> group, long nowMillis) {
    List<Slot> slots = new ArrayList<>();
    for (WorkerSession worker : group) {
      addSlots(gang, worker, nowMillis, slots);
    }
    int wanted = gang.tasks().size();
    if (slots.size() < wanted) {
      return List.of();
    }
    slots.sort(Comparator.comparingLong(Slot::freeAtMillis));
    return List.copyOf(slots.subList(0, wanted));
  }

  private void addSlots(Demand gang, WorkerSession worker, long nowMillis, List<Slot> slots) {
    state.examined(1 + worker.runs.size());
    List<RunState> runs = new ArrayList<>(worker.runs.values());
    runs.sort(Comparator.comparingLong(run -> run.remainingMillis(nowMillis)));
    Resources ended = Resources.NONE;
    Resources task = gang.spec().task();
    int most = gang.spec().maxPerWorker() == 0 ? Integer.MAX_VALUE : gang.spec().maxPerWorker();
    most = Math.min(most, gang.tasks().size());
    int found = 0;
    long at = nowMillis;
    for (int next = 0; next <= runs.size(); next++) {
      while (found < most && worker.fitsWithout(Preemptor.times(task, found + 1), ended)) {
        slots.add(new Slot(worker, at));
        found++;
      }
      if (next < runs.size()) {
        ended = ended.plus(runs.get(next).spec.task());
        at = nowMillis + runs.get(next).remainingMillis(nowMillis);
      }
    }
  }
}
