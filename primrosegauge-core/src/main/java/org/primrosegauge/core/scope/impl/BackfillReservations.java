package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.cfg.ScopeFeature;

/**
 * Reserves workers for gangs that wait for capacity until enough of the runs on these workers have
 * ended.
 *
 * <p>A reservation rests on the ends of runs that can be expected; a gang that waits for room held
 * by long-running tasks, or by runs that are long overdue, reserves nothing.
 *
 * <p>Without reservations a stream of small tasks takes each slot as soon as it is free, and a gang
 * that needs all its slots at once starves. A step ranked behind such a gang may use the reserved
 * workers only if it is expected to end before the gang can start (conservative backfilling).
 *
 * <p>Not thread-safe. Reservations last until the planner starts over at the first gang.
 */
final class BackfillReservations {

  private static final int MAX_RESERVED_GANGS = 4;

  /** Time for which the workers chosen for a gang remain valid, in milliseconds. */
  private static final long CHOICE_TTL_MILLIS = 200;

  private record Slot(WorkerSession worker, long freeAtMillis) {}

  /** The workers chosen for a gang; empty if no group can hold it. */
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

  /** Discards all reservations and all cached choices. */
  void reset() {
    choices.clear();
    reservedUntil.clear();
    reservedGangs = 0;
  }

  /** Releases all workers and drops the cached choices that have expired. */
  void releaseAll(long nowMillis) {
    reservedUntil.clear();
    reservedGangs = 0;
    state.examined(choices.size());
    choices.values().removeIf(choice -> nowMillis >= choice.createdMillis() + CHOICE_TTL_MILLIS);
  }

  /**
   * Tells whether a worker is reserved for a gang against a demand that is ranked behind it and
   * would not end in time.
   */
  boolean withholds(Demand demand, WorkerSession worker, long nowMillis) {
    Long until = reservedUntil.get(worker);
    return until != null && nowMillis + demand.expectedMillis() > until;
  }

  /**
   * Reserves the workers of the group on which a gang can start earliest. Does nothing if the limit
   * of reserved gangs is reached or no group can hold the gang.
   *
   * @param groups groups of workers, each of which is a candidate for the whole gang
   */
  void reserve(Demand gang, Supplier<List<List<WorkerSession>>> groups, long nowMillis) {
    boolean isEnabled = state.settings.isEnabled(ScopeFeature.BACKFILL_RESERVATIONS);
    if (!isEnabled || reservedGangs >= MAX_RESERVED_GANGS) {
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

  /**
   * Returns the slots that become free earliest, one for each task, in that order; empty if there
   * are too few.
   */
  private List<Slot> earliestSlots(Demand gang, List<WorkerSession> group, long nowMillis) {
    List<Slot> slots = new ArrayList<>();
    for (WorkerSession worker : group) {
      addSlots(gang, worker, nowMillis, slots);
    }
    int taskCount = gang.tasks().size();
    if (slots.size() < taskCount) {
      return List.of();
    }
    slots.sort(Comparator.comparingLong(Slot::freeAtMillis));
    return List.copyOf(slots.subList(0, taskCount));
  }

  private void addSlots(Demand gang, WorkerSession worker, long nowMillis, List<Slot> slots) {
    state.examined(1 + worker.runs.size());
    List<RunState> runs = new ArrayList<>(worker.runs.values());
    runs.removeIf(run -> !run.hasExpectedEnd(nowMillis));
    runs.sort(Comparator.comparingLong(run -> run.remainingMillis(nowMillis)));
    Resources released = Resources.NONE;
    Resources task = gang.spec().task();
    int limit = gang.spec().maxPerWorker() == 0 ? Integer.MAX_VALUE : gang.spec().maxPerWorker();
    limit = Math.min(limit, gang.tasks().size());
    int found = 0;
    long freeAtMillis = nowMillis;
    for (int next = 0; next <= runs.size(); next++) {
      while (found < limit && worker.fitsWithout(Preemptor.times(task, found + 1), released)) {
        slots.add(new Slot(worker, freeAtMillis));
        found++;
      }
      if (next < runs.size()) {
        released = released.plus(runs.get(next).spec.task());
        freeAtMillis = nowMillis + runs.get(next).remainingMillis(nowMillis);
      }
    }
  }
}
