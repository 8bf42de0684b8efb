package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.site.Adjacency;
import org.primrosegauge.core.site.Guarantee;

/**
 * Places gangs into their customers' guaranteed blocks: first into what earlier jobs left of
 * claimed blocks, then into newly claimed ones. A new block is pinned where the fewest borrowers
 * have to leave, as long as the remaining guarantees can still be packed; otherwise where the
 * packer puts it, which always leaves them packed.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class ClaimPlacer {

  private final DomainState state;
  private final GuaranteeLedger ledger;

  ClaimPlacer(DomainState state, GuaranteeLedger ledger) {
    this.state = state;
    this.ledger = ledger;
  }

  /** Claims room for a gang and returns one worker a task; nothing when no guarantee covers it. */
  Optional<List<Worker>> claim(Gang gang) {
    for (Guarantee guarantee : ledger.guaranteesOf(gang.spec.customer())) {
      Optional<List<Worker>> workers = claim(gang, guarantee);
      if (workers.isPresent()) {
        return workers;
      }
    }
    return Optional.empty();
  }

  private Optional<List<Worker>> claim(Gang gang, Guarantee guarantee) {
    if (ledger.claimable(guarantee) == 0 && ledger.pinnedOf(guarantee).isEmpty()) {
      return Optional.empty();
    }
    Block block = GuaranteeLedger.blockOf(guarantee.shape());
    FleetRooms rooms = FleetRooms.of(state.fleet);
    int[] pieces = block.pieces(rooms.whole());
    int share = share(gang);
    int perBlock = 0;
    for (int piece : pieces) {
      perBlock += piece / share;
    }
    int tasks = gang.spec.tasks();
    boolean oneBlock = gang.spec.adjacencyRequired() && gang.spec.adjacency() != Adjacency.DOMAIN;
    if (perBlock == 0 || oneBlock && (tasks > perBlock || !isCloseEnough(gang, block, pieces))) {
      return Optional.empty();
    }
    List<PinnedBlock> usable = usableSlack(guarantee, share, oneBlock ? tasks : 1);
    int slack = 0;
    for (PinnedBlock pinned : usable) {
      slack += pinned.slots(share);
    }
    int needed = Math.max(0, (tasks - slack + perBlock - 1) / perBlock);
    if (needed > ledger.claimable(guarantee)) {
      return Optional.empty();
    }
    for (int i = 0; i < needed; i++) {
      usable.add(pinNew(guarantee, block, pieces));
    }
    return Optional.of(assign(gang, usable, share));
  }

  private int share(Gang gang) {
    int share = 1;
    for (Worker worker : state.fleet.workers()) {
      if (worker.capacity.accelerators() > 0) {
        share = Math.max(share, worker.shareOf(gang.demand));
      }
    }
    return share;
  }

  private static boolean isCloseEnough(Gang gang, Block block, int[] pieces) {
    Adjacency closeness = pieces.length == 1 ? Adjacency.WORKER : block.adjacency();
    return closeness.ordinal() <= gang.spec.adjacency().ordinal();
  }

  private List<PinnedBlock> usableSlack(Guarantee guarantee, int share, int leastTasks) {
    List<PinnedBlock> usable = new ArrayList<>();
    for (PinnedBlock pinned : ledger.pinnedOf(guarantee)) {
      boolean open = pinned.workers.stream().allMatch(ledger::isOpen);
      if (open && pinned.slots(share) >= leastTasks) {
        usable.add(pinned);
      }
    }
    return usable;
  }

  private List<Worker> assign(Gang gang, List<PinnedBlock> blocks, int share) {
    List<Worker> workers = new ArrayList<>();
    for (PinnedBlock block : blocks) {
      for (int piece = 0; piece < block.pieces.length; piece++) {
        while (workers.size() < gang.spec.tasks()
            && block.pieces[piece] - block.used[piece] >= share) {
          ledger.use(gang, new ClaimUse(block, piece, share));
          workers.add(block.workers.get(piece));
        }
      }
    }
    return workers;
  }

  // Position of a new block

  private PinnedBlock pinNew(Guarantee guarantee, Block block, int[] pieces) {
    List<Block> carried = ledger.carried();
    List<Worker> cheapest = cheapest(block, pieces);
    if (!cheapest.isEmpty()) {
      PinnedBlock pinned = new PinnedBlock(guarantee.customer(), block, cheapest, pieces);
      ledger.pin(pinned);
      if (ledger.holds()) {
        return pinned;
      }
      ledger.unpin(pinned);
    }
    PinnedBlock pinned =
        new PinnedBlock(guarantee.customer(), block, witness(block, carried), pieces);
    ledger.pin(pinned);
    return pinned;
  }

  private List<Worker> witness(Block block, List<Block> carried) {
    FleetRooms rooms = FleetRooms.of(state.fleet);
    List<Worker> best = List.of();
    long bestCost = Long.MAX_VALUE;
    for (ShapePacker.Placed placed : rooms.pack(carried).placed()) {
      if (!placed.block().equals(block)) {
        continue;
      }
      List<Worker> workers = new ArrayList<>();
      for (int worker : placed.workers()) {
        workers.add(rooms.workers.get(worker));
      }
      long cost = cost(workers, block.pieces(rooms.whole()));
      if (cost < bestCost) {
        best = workers;
        bestCost = cost;
      }
    }
    return best;
  }

  private List<Worker> cheapest(Block block, int[] pieces) {
    if (block.adjacency() != Adjacency.RACK || pieces.length == 1) {
      List<Worker> all = new ArrayList<>();
      state.fleet.racks().forEach(all::addAll);
      return cheapestOf(all, pieces);
    }
    List<Worker> best = List.of();
    long bestCost = Long.MAX_VALUE;
    for (List<Worker> rack : state.fleet.racks()) {
      List<Worker> found = cheapestOf(rack, pieces);
      long cost = found.isEmpty() ? Long.MAX_VALUE : cost(found, pieces);
      if (cost < bestCost) {
        best = found;
        bestCost = cost;
      }
    }
    return best;
  }

  private static List<Worker> cheapestOf(List<Worker> range, int[] pieces) {
    List<Worker> chosen = new ArrayList<>();
    for (int piece : pieces) {
      Worker best = null;
      for (Worker worker : range) {
        boolean fits =
            worker.acceptsWork() && worker.firmRoom() >= piece && !chosen.contains(worker);
        if (fits && (best == null || isCheaper(worker, best, piece))) {
          best = worker;
        }
      }
      if (best == null) {
        return List.of();
      }
      chosen.add(best);
    }
    return chosen;
  }

  private static boolean isCheaper(Worker worker, Worker than, int piece) {
    int evicted = worker.evictedBy(piece);
    int evictedThan = than.evictedBy(piece);
    return evicted < evictedThan || evicted == evictedThan && worker.firmRoom() < than.firmRoom();
  }

  private static long cost(List<Worker> workers, int[] pieces) {
    long cost = 0;
    for (int i = 0; i < pieces.length; i++) {
      cost += workers.get(i).evictedBy(pieces[i]);
    }
    return cost;
  }
}
