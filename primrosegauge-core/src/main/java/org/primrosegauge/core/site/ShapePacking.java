package org.primrosegauge.core.site;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Decides whether blocks of adjacent accelerators can be packed into a failure domain.
 *
 * <p>A domain consists of {@code W} workers with {@code a} accelerators each, {@code r} workers per
 * rack; the last rack may have fewer workers. A worker block of size {@code k} requires {@code k}
 * accelerators of one worker, a rack block {@code k} accelerators of any workers of one rack, and a
 * domain block any {@code k} accelerators of the domain. Worker and rack blocks are allocated by
 * first-fit decreasing: in descending order of size, each in the first rack with enough free
 * accelerators, and for a worker block in the first such worker of the rack. The shapes fit if
 * every block can be allocated and the sum of all blocks is at most {@code W * a}.
 *
 * <p>A positive result is always backed by a valid packing. A negative result is exact if of any
 * two block sizes one divides the other and the size of each worker block divides {@code a}, as
 * with sizes 1, 2, 4, 8, 16: first-fit decreasing is optimal for divisible sizes (Coffman, Garey
 * and Johnson, "Bin packing with divisible item sizes", Journal of Complexity 3, 1987). For other
 * sizes the problem is NP-hard, and shapes that would fit may be rejected.
 *
 * <p>Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class ShapePacking {

  private ShapePacking() {}

  /**
   * Returns whether all shapes fit into the domain at the same time.
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

  /**
   * Returns the total as a {@code long}, which cannot overflow, unlike {@link
   * BlockShape#accelerators()}.
   */
  static long totalAccelerators(BlockShape shape) {
    return (long) shape.blocks() * shape.acceleratorsPerBlock();
  }

  private static List<Rack> emptyRacks(FailureDomain domain) {
    List<Rack> racks = new ArrayList<>();
    for (int remaining = domain.workers(); remaining > 0; remaining -= domain.workersPerRack()) {
      racks.add(
          new Rack(Math.min(remaining, domain.workersPerRack()), domain.acceleratorsPerWorker()));
    }
    return racks;
  }

  private static boolean allocateBlocks(List<Rack> racks, BlockShape shape) {
    int block = shape.acceleratorsPerBlock();
    int remaining = shape.blocks();
    for (Rack rack : racks) {
      while (remaining > 0 && rack.tryAllocate(block, shape.adjacency())) {
        remaining--;
      }
    }
    return remaining == 0;
  }

  /** Free accelerators of a rack; rack blocks may use any accelerator that no worker block uses. */
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
