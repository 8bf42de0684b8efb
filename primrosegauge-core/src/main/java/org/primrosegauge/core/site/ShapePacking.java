package org.primrosegauge.core.site;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Decides whether blocks of adjacent accelerators can be packed into a failure domain.
 *
 * <p>A domain is {@code W} workers of {@code a} accelerators, {@code r} workers to a rack; the last
 * rack may hold fewer. A worker block of {@code k} takes {@code k} accelerators of one worker, a
 * rack block {@code k} accelerators of one rack from any of its workers, a domain block any {@code
 * k} of the domain. Worker and rack blocks are placed largest first into the first rack that has
 * room (first-fit decreasing), worker blocks also into the first worker of it that has room. They
 * fit when each finds room and the sum of all blocks is at most {@code W * a}.
 *
 * <p>A yes always comes with a packing. A no is exact when of any two block sizes one divides the
 * other and each worker block's size divides {@code a}, as with sizes 1, 2, 4, 8, 16: first-fit
 * decreasing is optimal for divisible sizes (Coffman, Garey and Johnson, "Bin packing with
 * divisible item sizes", Journal of Complexity 3, 1987). For other sizes the problem is NP-hard and
 * a no may be cautious.
 *
 * <p>Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class ShapePacking {

  private ShapePacking() {}

  /**
   * Tells whether the shapes fit together.
   *
   * @since 0.1
   */
  public static boolean fits(FailureDomain domain, List<BlockShape> shapes) {
    long demand = shapes.stream().mapToLong(ShapePacking::totalAccelerators).sum();
    if (demand > (long) domain.workers() * domain.acceleratorsPerWorker()) {
      return false;
    }
    List<BlockShape> adjacent = new ArrayList<>(shapes);
    adjacent.removeIf(shape -> shape.adjacency() == Adjacency.DOMAIN);
    adjacent.sort(Comparator.comparingInt(BlockShape::acceleratorsPerBlock).reversed());
    List<Rack> racks = emptyRacks(domain);
    return adjacent.stream().allMatch(shape -> allocateBlocks(racks, shape));
  }

  /** Sum that cannot overflow, unlike that of the shape. */
  static long totalAccelerators(BlockShape shape) {
    return (long) shape.blocks() * shape.acceleratorsPerBlock();
  }

  private static List<Rack> emptyRacks(FailureDomain domain) {
    List<Rack> racks = new ArrayList<>();
    for (int left = domain.workers(); left > 0; left -= domain.workersPerRack()) {
      racks.add(new Rack(Math.min(left, domain.workersPerRack()), domain.acceleratorsPerWorker()));
    }
    return racks;
  }

  private static boolean allocateBlocks(List<Rack> racks, BlockShape shape) {
    int block = shape.acceleratorsPerBlock();
    int left = shape.blocks();
    for (Rack rack : racks) {
      while (left > 0 && rack.tryAllocate(block, shape.adjacency())) {
        left--;
      }
    }
    return left == 0;
  }

  /** Free accelerators of a rack; rack blocks take what worker blocks leave. */
  private static final class Rack {
    private final int[] freeByWorker;
    private int free;

    Rack(int workers, int acceleratorsPerWorker) {
      freeByWorker = new int[workers];
      Arrays.fill(freeByWorker, acceleratorsPerWorker);
      free = workers * acceleratorsPerWorker;
    }

    boolean tryAllocate(int block, Adjacency adjacency) {
      if (block > free) {
        return false;
      }
      if (adjacency == Adjacency.WORKER && !tryAllocateInWorker(block)) {
        return false;
      }
      free -= block;
      return true;
    }

    private boolean tryAllocateInWorker(int block) {
      for (int worker = 0; worker < freeByWorker.length; worker++) {
        if (freeByWorker[worker] >= block) {
          freeByWorker[worker] -= block;
          return true;
        }
      }
      return false;
    }
  }
}
