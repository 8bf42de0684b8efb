package org.primrosegauge.core.site;

/**
 * Shape of guaranteed capacity: a number of equally sized blocks of adjacent accelerators.
 *
 * @param blocks number of blocks, at least 1
 * @param acceleratorsPerBlock number of accelerators in each block, at least 1
 * @param adjacency locality of the accelerators of a block
 * @since 0.1
 */
public record BlockShape(int blocks, int acceleratorsPerBlock, Adjacency adjacency) {

  /** Validates the ranges and that an adjacency is given. */
  public BlockShape {
    if (blocks < 1 || acceleratorsPerBlock < 1 || adjacency == null) {
      throw new IllegalArgumentException(
          "invalid block shape: " + blocks + " x " + acceleratorsPerBlock + " " + adjacency);
    }
  }

  /**
   * Returns the total number of accelerators of all blocks.
   *
   * @since 0.1
   */
  public int accelerators() {
    return Math.multiplyExact(blocks, acceleratorsPerBlock);
  }
}
