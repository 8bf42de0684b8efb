package org.primrosegauge.core.schedule.impl;

import java.util.Arrays;
import org.primrosegauge.core.site.Adjacency;

/**
 * One block of a guaranteed shape. A block larger than a worker is made of whole workers and one
 * part of a worker, so that tasks of several accelerators find room in it.
 */
record Block(int accelerators, Adjacency adjacency) {

  /** Returns the sizes of the parts of workers that the block is made of, largest first. */
  int[] pieces(int whole) {
    if (adjacency == Adjacency.WORKER || whole <= 0) {
      return new int[] {accelerators};
    }
    int rest = accelerators % whole;
    int[] pieces = new int[accelerators / whole + (rest > 0 ? 1 : 0)];
    Arrays.fill(pieces, whole);
    if (rest > 0) {
      pieces[pieces.length - 1] = rest;
    }
    return pieces;
  }
}
