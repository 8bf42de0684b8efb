package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.job.Resources;

/**
 * Keeps workers free for gangs that wait, until enough runs there have ended.
 *
 * <p>Answers many small tasks that take each slot as it comes free, so that a gang never finds all
 * its slots at once. What is ranked behind such a gang may use its workers only if it ends before
 * the gang can start: conservative backfilling.
 *
 * <p>Not thread-safe; holds last for one pass of the planner.
 */
final class GangHolds {

  private static final int MAX_HOLDS = 4;

  private record Slot(WorkerSession worker, long atMillis) {}

  private final Map<WorkerSession, Long> heldUntil = new HashMap<>();
  private int holds;

  /** Forgets all holds. */
  void clear() {
    heldUntil.clear();
    holds = 0;
  }

  /** Tells whether a worker is kept from a demand that is ranked behind the gang that it is for. */
  boolean keepsFrom(Demand demand, WorkerSession worker, long nowMillis) {
    Long until = heldUntil.get(worker);
    return until != null && nowMillis + demand.spec().estimatedMillis() > until;
  }

  /** Holds workers of the group on which a gang can start soonest. */
  void hold(Demand gang, List<List<WorkerSession>> groups, long nowMillis) {
    if (holds >= MAX_HOLDS) {
      return;
    }
    List<Slot> best = null;
    for (List<WorkerSession> group : groups) {
      List<Slot> slots = soonestSlots(gang, group, nowMillis);
      boolean isSooner = slots != null && (best == null || startOf(slots) < startOf(best));
      best = isSooner ? slots : best;
    }
    if (best == null) {
      return;
    }
    holds++;
    long start = startOf(best);
    best.forEach(slot -> heldUntil.merge(slot.worker(), start, Math::max));
  }

  private static long startOf(List<Slot> slots) {
    return slots.get(slots.size() - 1).atMillis();
  }

  /** Returns the slots for all tasks that come free first, in their order; null if too few do. */
  private static List<Slot> soonestSlots(Demand gang, List<WorkerSession> group, long nowMillis) {
    List<Slot> slots = new ArrayList<>();
    for (WorkerSession worker : group) {
      addSlots(gang, worker, nowMillis, slots);
    }
    int wanted = gang.tasks().size();
    if (slots.size() < wanted) {
      return null;
    }
    slots.sort(Comparator.comparingLong(Slot::atMillis));
    return slots.subList(0, wanted);
  }

  private static void addSlots(
      Demand gang, WorkerSession worker, long nowMillis, List<Slot> slots) {
    List<RunControl> runs = new ArrayList<>(worker.runs.values());
    runs.sort(Comparator.comparingLong(run -> run.remainingMillis(nowMillis)));
    Resources ended = Resources.NONE;
    Resources task = gang.spec().task();
    int most = gang.spec().maxPerWorker() == 0 ? Integer.MAX_VALUE : gang.spec().maxPerWorker();
    int found = 0;
    long at = nowMillis;
    for (int next = 0; next <= runs.size(); next++) {
      while (found < most && worker.fitsWithout(RoomMaker.times(task, found + 1), ended)) {
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
