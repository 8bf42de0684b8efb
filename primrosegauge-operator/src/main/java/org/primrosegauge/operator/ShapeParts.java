package org.primrosegauge.operator;

import org.primrosegauge.core.site.Adjacency;
import org.primrosegauge.core.site.BlockShape;

/**
 * Shape of guaranteed capacity: one block in one worker when nothing else is set. One use by one
 * thread.
 *
 * @since 0.1
 */
public final class ShapeParts {

  private int blocks = 1;
  private int accelerators;
  private Adjacency adjacency = Adjacency.WORKER;

  ShapeParts() {}

  /**
   * Sets the number of blocks.
   *
   * @since 0.1
   */
  public ShapeParts blocks(int number) {
    blocks = number;
    return this;
  }

  /**
   * Sets the accelerators of one block.
   *
   * @since 0.1
   */
  public ShapeParts ofAccelerators(int number) {
    accelerators = number;
    return this;
  }

  /**
   * Keeps the accelerators of a block in one worker.
   *
   * @since 0.1
   */
  public ShapeParts inOneWorker() {
    adjacency = Adjacency.WORKER;
    return this;
  }

  /**
   * Keeps the accelerators of a block in one rack.
   *
   * @since 0.1
   */
  public ShapeParts inOneRack() {
    adjacency = Adjacency.RACK;
    return this;
  }

  /**
   * Lets the accelerators of a block lie anywhere in the failure domain.
   *
   * @since 0.1
   */
  public ShapeParts anywhere() {
    adjacency = Adjacency.DOMAIN;
    return this;
  }

  BlockShape build() {
    return new BlockShape(blocks, accelerators, adjacency);
  }
}
