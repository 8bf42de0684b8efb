package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.schedule.StopMode;

/**
 * Takes capacity back from borrowers: preemptible gangs that run beyond their customers'
 * guarantees. The cheapest loss goes first: gangs not yet started, then repeatable ones by size and
 * by how often they were preempted before.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class Reclaimer {

  /** Makes work that cannot be repeated the last resort. */
  private static final long UNREPEATABLE_LOSS = 1L << 40;

  private static final Comparator<Gang> CHEAPEST_FIRST =
      Comparator.<Gang>comparingLong(Reclaimer::loss)
          .thenComparingLong(gang -> -gang.startedMillis)
          .thenComparingLong(gang -> gang.sequence);

  private final DomainState state;
  private final GangLifecycle lifecycle;

  Reclaimer(DomainState state, GangLifecycle lifecycle) {
    this.state = state;
    this.lifecycle = lifecycle;
  }

  /** Tells whether a gang's capacity can be taken back. */
  static boolean isBorrower(Gang gang) {
    return gang.tasks.length > 0
        && gang.spec.preemptible()
        && gang.claims.isEmpty()
        && !gang.unconfirmed
        && gang.phase.ordinal() < JobPhase.STOPPING.ordinal();
  }

  private static long loss(Gang gang) {
    if (gang.phase.ordinal() < JobPhase.STARTING.ordinal()) {
      return 0;
    }
    long loss = (long) gang.accelerators() * (1 + gang.preemptions);
    return gang.spec.repeatable() ? loss : loss + UNREPEATABLE_LOSS;
  }

  // Search

  /**
   * Finds workers for a gang if some borrowers leave; picks as few of the costly ones as it can.
   */
  Optional<List<Worker>> place(
      Predicate<Gang> eligible, Supplier<Optional<List<Worker>>> placement) {
    List<Gang> borrowers = new ArrayList<>();
    for (Gang gang : state.active) {
      if (isBorrower(gang) && eligible.test(gang)) {
        borrowers.add(gang);
      }
    }
    borrowers.sort(CHEAPEST_FIRST);
    int most = borrowers.size();
    Optional<List<Worker>> best = placeAfter(borrowers, most, placement);
    int least = 0;
    while (best.isPresent() && least < most) {
      int middle = (least + most) / 2;
      Optional<List<Worker>> found = placeAfter(borrowers, middle, placement);
      if (found.isPresent()) {
        best = found;
        most = middle;
      } else {
        least = middle + 1;
      }
    }
    clearReclaimable();
    return best;
  }

  private Optional<List<Worker>> placeAfter(
      List<Gang> borrowers, int count, Supplier<Optional<List<Worker>>> placement) {
    clearReclaimable();
    for (Gang gang : state.inTransition) {
      if (gang.phase == JobPhase.STOPPING) {
        markReclaimable(gang);
      }
    }
    for (int i = 0; i < count; i++) {
      markReclaimable(borrowers.get(i));
    }
    return placement.get();
  }

  private static void markReclaimable(Gang gang) {
    for (GangTask task : gang.tasks) {
      if (task.state != GangTask.State.ENDED) {
        task.worker.reclaimable = task.worker.reclaimable.plus(gang.demand);
      }
    }
  }

  private void clearReclaimable() {
    for (Worker worker : state.fleet.workers()) {
      worker.reclaimable = Resources.NONE;
    }
  }

  // Eviction

  /** Makes borrowers leave where a planned gang overdraws the books; returns how many. */
  int vacate(Gang planned, Predicate<Gang> eligible, JobReason why, long nowMillis) {
    Set<Worker> workers = new LinkedHashSet<>();
    for (GangTask task : planned.tasks) {
      workers.add(task.worker);
    }
    Set<Gang> victims = new LinkedHashSet<>();
    for (Worker worker : workers) {
      chooseVictims(worker, planned, eligible, victims);
    }
    for (Gang victim : victims) {
      preempt(victim, why, nowMillis);
    }
    return victims.size();
  }

  private void chooseVictims(
      Worker worker, Gang planned, Predicate<Gang> eligible, Set<Gang> victims) {
    Resources leaving = Resources.NONE;
    Set<Gang> borrowers = new HashSet<>();
    for (var entry : worker.held.entrySet()) {
      Gang gang = holder(entry.getKey());
      if (gang == null || gang.phase == JobPhase.STOPPING || victims.contains(gang)) {
        leaving = leaving.plus(entry.getValue());
      } else if (gang != planned && isBorrower(gang) && eligible.test(gang)) {
        borrowers.add(gang);
      }
    }
    List<Gang> sorted = new ArrayList<>(borrowers);
    sorted.sort(CHEAPEST_FIRST);
    List<Gang> chosen = new ArrayList<>();
    for (Gang gang : sorted) {
      if (worker.coversDebt(leaving)) {
        break;
      }
      leaving = leaving.plus(heldBy(gang, worker));
      chosen.add(gang);
    }
    dropNeedless(worker, leaving, chosen);
    victims.addAll(chosen);
  }

  private static void dropNeedless(Worker worker, Resources leaving, List<Gang> chosen) {
    Resources rest = leaving;
    for (int i = chosen.size() - 1; i >= 0; i--) {
      Resources without = rest.minus(heldBy(chosen.get(i), worker));
      if (worker.coversDebt(without)) {
        rest = without;
        chosen.remove(i);
      }
    }
  }

  private Gang holder(TaskId id) {
    return Orphans.isOrphan(state, id) ? null : state.gangs.get(id.job());
  }

  private static Resources heldBy(Gang gang, Worker worker) {
    Resources sum = Resources.NONE;
    for (GangTask task : gang.tasks) {
      if (task.worker == worker && task.state != GangTask.State.ENDED) {
        sum = sum.plus(gang.demand);
      }
    }
    return sum;
  }

  private void preempt(Gang victim, JobReason why, long nowMillis) {
    victim.preemptions++;
    if (victim.phase.ordinal() < JobPhase.STARTING.ordinal()) {
      lifecycle.abandon(victim, why, nowMillis);
    } else {
      lifecycle.stop(victim, StopMode.CHECKPOINT, why, nowMillis);
    }
  }
}
