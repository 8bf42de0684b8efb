package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.core.site.BlockShape;
import org.primrosegauge.core.site.Guarantee;

/**
 * Keeps the guarantees of the domain: which blocks are claimed and where, and whether the unclaimed
 * ones can still be packed out of free capacity and capacity that can be taken back.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class GuaranteeLedger {

  private final DomainState state;
  private List<Guarantee> guarantees = List.of();
  private final Map<CustomerId, List<Guarantee>> byCustomer = new HashMap<>();
  private final List<PinnedBlock> pinned = new ArrayList<>();
  private final Map<Guarantee, Integer> missing = new HashMap<>();

  GuaranteeLedger(DomainState state) {
    this.state = state;
  }

  // Queries

  List<Guarantee> guarantees() {
    return guarantees;
  }

  List<Guarantee> guaranteesOf(CustomerId customer) {
    return byCustomer.getOrDefault(customer, List.of());
  }

  /** Takes over the domain's guarantees from a configuration. */
  void configure() {
    List<Guarantee> own = new ArrayList<>();
    byCustomer.clear();
    for (Guarantee guarantee : state.configuration.guarantees()) {
      if (guarantee.domain().equals(state.domain)) {
        own.add(guarantee);
        byCustomer
            .computeIfAbsent(guarantee.customer(), customer -> new ArrayList<>())
            .add(guarantee);
      }
    }
    guarantees = own;
  }

  List<PinnedBlock> pinnedOf(Guarantee guarantee) {
    List<PinnedBlock> blocks = new ArrayList<>();
    for (PinnedBlock block : pinned) {
      if (block.customer.equals(guarantee.customer())
          && block.block.equals(blockOf(guarantee.shape()))) {
        blocks.add(block);
      }
    }
    return blocks;
  }

  int unclaimed(Guarantee guarantee) {
    return Math.max(0, guarantee.shape().blocks() - pinnedOf(guarantee).size());
  }

  /** Returns the unclaimed blocks that the fleet carries. */
  int claimable(Guarantee guarantee) {
    return unclaimed(guarantee) - missing.getOrDefault(guarantee, 0);
  }

  static Block blockOf(BlockShape shape) {
    return new Block(shape.acceleratorsPerBlock(), shape.adjacency());
  }

  /** Returns the unclaimed blocks that the fleet carries at present. */
  List<Block> carried() {
    List<Block> blocks = new ArrayList<>();
    for (Guarantee guarantee : guarantees()) {
      int count = claimable(guarantee);
      for (int i = 0; i < count; i++) {
        blocks.add(blockOf(guarantee.shape()));
      }
    }
    return blocks;
  }

  /** Tells whether all blocks that were carried before still are. */
  boolean holds() {
    List<Block> blocks = carried();
    return blocks.isEmpty() || FleetRooms.of(state.fleet).pack(blocks).missing().isEmpty();
  }

  // Firm work outside claimed blocks

  void addFirm(List<Worker> workers, Resources each) {
    for (Worker worker : workers) {
      worker.firm = worker.firm.plus(each);
    }
  }

  void removeFirm(List<Worker> workers, Resources each) {
    for (Worker worker : workers) {
      worker.firm = worker.firm.minus(each);
    }
  }

  /** Tells whether work that cannot be taken back may run on these workers. */
  boolean allowsFirm(List<Worker> workers, Resources each) {
    addFirm(workers, each);
    boolean allowed = holds();
    removeFirm(workers, each);
    return allowed;
  }

  // Claims

  void pin(PinnedBlock block) {
    block.pin();
    pinned.add(block);
  }

  void unpin(PinnedBlock block) {
    block.unpin();
    pinned.remove(block);
    // The room of a lost or closed worker does not come back with the block.
    for (Worker worker : block.workers) {
      state.fleetChanged |= !isOpen(worker);
    }
  }

  /** Gives back what a gang claimed or held firmly. */
  void release(Gang gang) {
    if (gang.firmWorkers != null) {
      removeFirm(gang.firmWorkers, gang.firmEach);
      gang.firmWorkers = null;
    }
    for (ClaimUse use : gang.claims) {
      PinnedBlock block = use.block();
      block.used[use.piece()] -= use.accelerators();
      if (block.jobs.remove(gang.spec.id()) && block.jobs.isEmpty()) {
        unpin(block);
      }
    }
    gang.claims.clear();
  }

  /** Tells whether a worker is present and takes new work. */
  boolean isOpen(Worker worker) {
    return worker.acceptsWork() && state.fleet.find(worker.id) == worker;
  }

  /** Notes that a task of a gang takes a part of a claimed block. */
  void use(Gang gang, ClaimUse use) {
    use.block().used[use.piece()] += use.accelerators();
    use.block().jobs.add(gang.spec.id());
    gang.claims.add(use);
  }

  /** Forgets all claims; the workers they were pinned on are forgotten too. */
  void clear() {
    pinned.clear();
    missing.clear();
    for (Gang gang : state.gangs.values()) {
      gang.claims.clear();
      gang.firmWorkers = null;
    }
  }

  // Report

  /** Finds the blocks that the fleet cannot carry and reports changes. */
  void refresh() {
    List<Guarantee> guarantees = guarantees();
    List<Block> all = new ArrayList<>();
    for (Guarantee guarantee : guarantees) {
      for (int i = 0; i < unclaimed(guarantee); i++) {
        all.add(blockOf(guarantee.shape()));
      }
    }
    List<Block> lacking =
        all.isEmpty()
            ? new ArrayList<>()
            : new ArrayList<>(FleetRooms.of(state.fleet).pack(all).missing());
    missing.keySet().retainAll(guarantees);
    for (Guarantee guarantee : guarantees) {
      report(guarantee, takeMissing(guarantee, lacking));
    }
  }

  private int takeMissing(Guarantee guarantee, List<Block> lacking) {
    int count = 0;
    while (count < unclaimed(guarantee) && lacking.remove(blockOf(guarantee.shape()))) {
      count++;
    }
    return count;
  }

  private void report(Guarantee guarantee, int count) {
    int before = missing.getOrDefault(guarantee, 0);
    if (before != count) {
      missing.put(guarantee, count);
      state.emit(
          new SchedulerAction.GuaranteeChanged(guarantee.customer(), guarantee.shape(), count));
    }
  }

  boolean isAnyMissing() {
    return missing.values().stream().anyMatch(count -> count > 0);
  }
}
