package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;

/**
 * Places work that cannot be taken back outside its customer's guarantee. All unclaimed guarantees
 * have to stay packable beside it. Tries the policy's choice, then the room that a packing of the
 * guarantees leaves, then a bounded search.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class FirmPlacer {

  /** Bound of the search, in packings times the square of the workers. */
  private static final int SEARCH_BUDGET = 100_000;

  private final DomainState state;
  private final GuaranteeLedger ledger;
  private final Placer placer;
  private int budget;

  FirmPlacer(DomainState state, GuaranteeLedger ledger, Placer placer) {
    this.state = state;
    this.ledger = ledger;
    this.placer = placer;
  }

  Optional<List<Worker>> place(Gang gang, ToIntFunction<Worker> room) {
    ToIntFunction<Worker> firm =
        worker -> Math.min(room.applyAsInt(worker), slots(worker.firmRoom(), worker, gang));
    Optional<List<Worker>> chosen = placer.place(gang, firm, state.policy.choice());
    if (chosen.isEmpty() || ledger.allowsFirm(chosen.get(), gang.demand)) {
      return chosen;
    }
    Optional<List<Worker>> beside = placeBesidePacking(gang, room);
    return beside.isPresent() ? beside : search(gang, firm);
  }

  private Optional<List<Worker>> placeBesidePacking(Gang gang, ToIntFunction<Worker> room) {
    FleetRooms rooms = FleetRooms.of(state.fleet);
    rooms.pack(ledger.carried());
    int[] left = rooms.roomLeft();
    for (int i = 0; i < left.length; i++) {
      rooms.workers.get(i).roomBeside = left[i];
    }
    ToIntFunction<Worker> beside =
        worker -> Math.min(room.applyAsInt(worker), slots(worker.roomBeside, worker, gang));
    Optional<List<Worker>> found = placer.place(gang, beside, state.policy.choice());
    return found.filter(workers -> ledger.allowsFirm(workers, gang.demand));
  }

  private static int slots(int room, Worker worker, Gang gang) {
    // A worker without accelerators carries no guarantee.
    if (worker.capacity.accelerators() == 0) {
      return Integer.MAX_VALUE;
    }
    return worker.slotsBeside(Math.max(0, room), gang.demand);
  }

  private Optional<List<Worker>> search(Gang gang, ToIntFunction<Worker> room) {
    int workers = Math.max(1, state.fleet.workers().size());
    budget = SEARCH_BUDGET / (workers * workers);
    List<Worker> chosen = new ArrayList<>();
    for (List<Worker> range : placer.ranges(gang)) {
      int[] slots = new int[range.size()];
      for (int i = 0; i < slots.length; i++) {
        slots[i] = room.applyAsInt(range.get(i));
      }
      if (search(gang, range, slots, 0, chosen)) {
        return Optional.of(chosen);
      }
    }
    return Optional.empty();
  }

  private boolean search(
      Gang gang, List<Worker> range, int[] slots, int index, List<Worker> chosen) {
    int rest = gang.spec.tasks() - chosen.size();
    if (rest == 0) {
      return --budget >= 0 && ledger.allowsFirm(chosen, gang.demand);
    }
    if (index == slots.length || budget <= 0) {
      return false;
    }
    for (int count = Math.min(rest, slots[index]); count >= 0; count--) {
      for (int i = 0; i < count; i++) {
        chosen.add(range.get(index));
      }
      if (search(gang, range, slots, index + 1, chosen)) {
        return true;
      }
      chosen.subList(chosen.size() - count, chosen.size()).clear();
    }
    return false;
  }
}
