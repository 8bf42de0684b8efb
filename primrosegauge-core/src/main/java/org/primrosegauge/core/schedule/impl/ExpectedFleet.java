package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.primrosegauge.core.site.FailureDomain;
import org.primrosegauge.core.site.Guarantee;

/**
 * The fleet that operators expect in a failure domain.
 *
 * @since 0.1
 */
public final class ExpectedFleet {

  private ExpectedFleet() {}

  /**
   * Returns the first guarantee that the expected workers cannot carry beside those before it, or
   * null.
   *
   * @since 0.1
   */
  public static Guarantee firstClash(List<Guarantee> guarantees, FailureDomain domain) {
    int[] room = new int[domain.workers()];
    Arrays.fill(room, domain.acceleratorsPerWorker());
    int[] rackOf = new int[domain.workers()];
    Arrays.setAll(rackOf, worker -> worker / Math.max(1, domain.workersPerRack()));
    List<Block> blocks = new ArrayList<>();
    for (Guarantee guarantee : guarantees) {
      if (!guarantee.domain().equals(domain.id())) {
        continue;
      }
      for (int i = 0; i < guarantee.shape().blocks(); i++) {
        blocks.add(GuaranteeLedger.blockOf(guarantee.shape()));
      }
      ShapePacker packer = new ShapePacker(room, rackOf, domain.acceleratorsPerWorker());
      if (!packer.pack(blocks).missing().isEmpty()) {
        return guarantee;
      }
    }
    return null;
  }
}
