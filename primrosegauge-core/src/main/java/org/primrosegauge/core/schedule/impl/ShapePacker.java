package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.primrosegauge.core.site.Adjacency;

/**
 * Packs blocks of accelerators into the room that workers have. Best fit, largest block first, is
 * exact when the sizes of the pieces divide each other (Coffman, Garey and Johnson, 1987) and no
 * block needs several workers of one rack; otherwise a bounded search follows. When the search runs
 * out of its budget, the answer is that the blocks do not fit, which is the safe side.
 *
 * <p>Not thread-safe; one object packs one list of rooms.
 */
final class ShapePacker {

  /** Positions of the pieces of one block, as indexes of workers. */
  record Placed(Block block, int[] workers) {}

  /** Blocks with their positions, and blocks that found none. */
  record Packing(List<Placed> placed, List<Block> missing) {}

  /** Bound of the search, in steps times the square of the workers: what one step can cost. */
  private static final int SEARCH_BUDGET = 1_000_000;

  private final int[] room;
  private final int[] rackOf;
  private final int whole;
  private int budget;

  /**
   * Creates a packer.
   *
   * @param room accelerators that each worker has room for
   * @param rackOf index of each worker's rack; workers of one rack are neighbours
   * @param whole accelerators of a whole worker
   */
  ShapePacker(int[] room, int[] rackOf, int whole) {
    this.room = room.clone();
    this.rackOf = rackOf;
    this.whole = whole;
  }

  /** Packs as many blocks as possible; complete whenever the search finds a complete packing. */
  Packing pack(List<Block> blocks) {
    List<Block> sorted = new ArrayList<>(blocks);
    sorted.sort(
        Comparator.<Block>comparingInt(block -> needsOneRack(block) ? 0 : 1)
            .thenComparingInt(block -> -block.accelerators()));
    int[] before = room.clone();
    Packing greedy = packGreedily(sorted);
    if (greedy.missing().isEmpty() || isGreedyExact(sorted) || sum(before) < total(sorted)) {
      return greedy;
    }
    final int[] afterGreedy = room.clone();
    restore(before);
    budget = SEARCH_BUDGET / (room.length * room.length);
    List<Placed> found = new ArrayList<>();
    if (search(sorted, 0, found)) {
      return new Packing(found, List.of());
    }
    restore(afterGreedy);
    return greedy;
  }

  /** Returns the room left after the last packing. */
  int[] roomLeft() {
    return room.clone();
  }

  private Packing packGreedily(List<Block> blocks) {
    List<Placed> placed = new ArrayList<>();
    List<Block> missing = new ArrayList<>();
    for (Block block : blocks) {
      int[] workers = needsOneRack(block) ? bestRack(block) : place(block, 0, room.length);
      if (workers == null) {
        missing.add(block);
      } else {
        take(block, workers, 1);
        placed.add(new Placed(block, workers));
      }
    }
    return new Packing(placed, missing);
  }

  private boolean needsOneRack(Block block) {
    return block.adjacency() == Adjacency.RACK && block.accelerators() > whole;
  }

  /** Takes the rack that has the least room left among those that can hold the block. */
  private int[] bestRack(Block block) {
    int[] best = null;
    int bestRoom = Integer.MAX_VALUE;
    for (int start = 0; start < room.length; ) {
      int end = rackEnd(start);
      int rackRoom = sum(Arrays.copyOfRange(room, start, end));
      if (rackRoom >= block.accelerators() && rackRoom < bestRoom) {
        int[] workers = place(block, start, end);
        if (workers != null) {
          best = workers;
          bestRoom = rackRoom;
        }
      }
      start = end;
    }
    return best;
  }

  private int rackEnd(int start) {
    int end = start;
    while (end < room.length && rackOf[end] == rackOf[start]) {
      end++;
    }
    return end;
  }

  /** Finds the best fit for every piece among a range of workers, without taking it. */
  private int[] place(Block block, int from, int to) {
    int[] pieces = block.pieces(whole);
    int[] workers = new int[pieces.length];
    int found = 0;
    while (found < pieces.length) {
      int worker = bestWorker(pieces[found], from, to);
      if (worker < 0) {
        break;
      }
      workers[found] = worker;
      room[worker] -= pieces[found++];
    }
    for (int i = 0; i < found; i++) {
      room[workers[i]] += pieces[i];
    }
    return found == pieces.length ? workers : null;
  }

  private int bestWorker(int piece, int from, int to) {
    int best = -1;
    for (int i = from; i < to; i++) {
      if (room[i] >= piece && (best < 0 || room[i] < room[best])) {
        best = i;
      }
    }
    return best;
  }

  private void take(Block block, int[] workers, int sign) {
    int[] pieces = block.pieces(whole);
    for (int i = 0; i < pieces.length; i++) {
      room[workers[i]] -= sign * pieces[i];
    }
  }

  // Bounded search

  private boolean isGreedyExact(List<Block> sorted) {
    int larger = 0;
    for (Block block : sorted) {
      int[] pieces = block.pieces(whole);
      if (pieces.length > 1) {
        return false;
      }
      if (larger % pieces[0] != 0) {
        return false;
      }
      larger = pieces[0];
    }
    return true;
  }

  private boolean search(List<Block> blocks, int index, List<Placed> found) {
    if (index == blocks.size()) {
      return true;
    }
    Block block = blocks.get(index);
    int[] pieces = block.pieces(whole);
    int[] workers = new int[pieces.length];
    if (!needsOneRack(block)) {
      return searchPieces(blocks, index, found, workers, 0, 0, room.length);
    }
    for (int start = 0; start < room.length; start = rackEnd(start)) {
      if (searchPieces(blocks, index, found, workers, 0, start, rackEnd(start))) {
        return true;
      }
    }
    return false;
  }

  private boolean searchPieces(
      List<Block> blocks, int index, List<Placed> found, int[] workers, int at, int from, int to) {
    Block block = blocks.get(index);
    int[] pieces = block.pieces(whole);
    if (at == pieces.length) {
      found.add(new Placed(block, workers.clone()));
      if (search(blocks, index + 1, found)) {
        return true;
      }
      found.remove(found.size() - 1);
      return false;
    }
    for (int i = from; i < to; i++) {
      if (room[i] < pieces[at] || repeats(i, from) || --budget < 0) {
        continue;
      }
      room[i] -= pieces[at];
      workers[at] = i;
      if (searchPieces(blocks, index, found, workers, at + 1, from, to)) {
        return true;
      }
      room[i] += pieces[at];
    }
    return false;
  }

  /** Workers of one rack with equal room are alike; trying the first of them is enough. */
  private boolean repeats(int worker, int from) {
    for (int i = from; i < worker; i++) {
      if (room[i] == room[worker] && rackOf[i] == rackOf[worker]) {
        return true;
      }
    }
    return false;
  }

  private void restore(int[] rooms) {
    System.arraycopy(rooms, 0, room, 0, room.length);
  }

  private static int total(List<Block> blocks) {
    int sum = 0;
    for (Block block : blocks) {
      sum += block.accelerators();
    }
    return sum;
  }

  private static int sum(int[] rooms) {
    int sum = 0;
    for (int one : rooms) {
      sum += Math.max(0, one);
    }
    return sum;
  }
}
