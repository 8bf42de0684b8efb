package org.primrosegauge.bench.placement;

import java.util.Arrays;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The obvious way to place one task beside guarantees: try every worker, pack all guaranteed blocks
 * anew for each, and keep the position that leaves most blocks packable in one worker.
 */
final class NaivePlacement {

  private static final int BLOCK = 4;
  private static final int ACCELERATORS = 8;

  private final int[] room;
  private final int blocks;

  private NaivePlacement(int[] room, int blocks) {
    this.room = room;
    this.blocks = blocks;
  }

  static Histogram measure(int workers, int decisions) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7_100L);
    Histogram histogram = new Histogram(3);
    int[] room = new int[workers];
    for (int i = 0; i < decisions; i++) {
      Arrays.setAll(room, worker -> random.nextInt(ACCELERATORS + 1));
      NaivePlacement naive = new NaivePlacement(room, workers / 4);
      long begin = System.nanoTime();
      naive.choose(1 + random.nextInt(ACCELERATORS));
      histogram.recordValue(System.nanoTime() - begin);
    }
    return histogram;
  }

  private int choose(int task) {
    int best = -1;
    int bestLeft = -1;
    for (int i = 0; i < room.length; i++) {
      if (room[i] < task) {
        continue;
      }
      room[i] -= task;
      int left = packable();
      if (left >= blocks && left > bestLeft) {
        best = i;
        bestLeft = left;
      }
      room[i] += task;
    }
    return best;
  }

  /** Packs one block after another, looking for the best worker among all each time. */
  private int packable() {
    int[] left = room.clone();
    int packed = 0;
    while (true) {
      int best = -1;
      for (int i = 0; i < left.length; i++) {
        if (left[i] >= BLOCK && (best < 0 || left[i] < left[best])) {
          best = i;
        }
      }
      if (best < 0) {
        return packed;
      }
      left[best] -= BLOCK;
      packed++;
    }
  }
}
