package org.primrosegauge.core.site;

/**
 * Shape of guaranteed capacity: a number of blocks, each of adjacent accelerators.
 *
 * @param blocks number of blocks, at least 1
 * @param acceleratorsPerBlock accelerators of one block, at least 1
 * @param adjacency how close the accelerators of one block lie
 * @since 0.1
 */
public record BlockShape(int blocks, int acceleratorsPerBlock, Adjacency adjacency) {

  /** Checks the ranges. */
  public BlockShape {
    if (blocks < 1 || acceleratorsPerBlock < 1 || adjacency == null) {
      throw new IllegalArgumentException(
          "shape " + blocks + " x " + acceleratorsPerBlock + " " + adjacency);
    }
  }

  /**
   * Returns the number of accelerators in all blocks together.
   *
   * @since 0.1
   */
  public int accelerators() {
    return Math.multiplyExact(blocks, acceleratorsPerBlock);
  }
}
