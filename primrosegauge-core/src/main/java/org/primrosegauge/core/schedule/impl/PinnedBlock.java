package org.primrosegauge.core.schedule.impl;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;

/**
 * A claimed block of a guarantee, held at fixed workers while jobs run in it. All of the block
 * stays out of reach of work that cannot be taken back, so that the block is whole again when its
 * last job ends.
 */
final class PinnedBlock {

  final CustomerId customer;
  final Block block;
  final List<Worker> workers;
  final int[] pieces;
  final int[] used;
  final Set<JobId> jobs = new HashSet<>();

  PinnedBlock(CustomerId customer, Block block, List<Worker> workers, int[] pieces) {
    this.customer = customer;
    this.block = block;
    this.workers = workers;
    this.pieces = pieces;
    this.used = new int[pieces.length];
  }

  void pin() {
    for (int i = 0; i < pieces.length; i++) {
      workers.get(i).pinned += pieces[i];
    }
  }

  void unpin() {
    for (int i = 0; i < pieces.length; i++) {
      workers.get(i).pinned -= pieces[i];
    }
  }

  /** Returns how many tasks of a size fit into what the block's jobs leave. */
  int slots(int acceleratorsPerTask) {
    int slots = 0;
    for (int i = 0; i < pieces.length; i++) {
      slots += (pieces[i] - used[i]) / acceleratorsPerTask;
    }
    return slots;
  }
}
