package org.primrosegauge.node.journal;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.StorageUnavailableException;
import org.primrosegauge.core.log.LogAction.Persist;
import org.primrosegauge.core.log.StorageId;

/** The journal of a process that is killed at any point and, while it starts again, loses power. */
class JournalAfterKillAndPowerLossTest {

  private static final int SEGMENT_BYTES = 700;

  /** Guards against old files that are gone while the name of the new one is not durable. */
  @Property(seed = "20261205", tries = 2_000)
  void holdsWhatWasSynced(@ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int steps)
      throws Exception {
    ScatteredFolder folder = new ScatteredFolder();
    JournalOracle oracle = new JournalOracle();
    Journal journal = open(folder);
    oracle.check(journal.recover());
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < steps; i++) {
      try {
        if (random.nextInt(12) == 0) {
          folder.killAfter(random.nextInt(12));
        }
        if (random.nextInt(3) > 0) {
          Persist write = oracle.nextWrite(random);
          oracle.writes(write);
          journal.write(write);
        } else {
          journal.sync();
          oracle.synced();
        }
      } catch (StorageUnavailableException e) {
        journal = startAgain(folder, oracle, random);
      }
    }
  }

  /** Starts the process again, during which it may be killed or lose power in turn. */
  private static Journal startAgain(
      ScatteredFolder folder, JournalOracle oracle, SplittableRandom random)
      throws StorageException {
    folder.restart();
    while (true) {
      if (random.nextInt(4) == 0) {
        folder.losePower(random);
      }
      if (random.nextInt(2) == 0) {
        folder.killAfter(random.nextInt(8));
      }
      Journal journal = open(folder);
      try {
        oracle.check(journal.recover());
        return journal;
      } catch (StorageUnavailableException e) {
        folder.restart();
      }
    }
  }

  private static Journal open(JournalFolder folder) {
    return new Journal(folder, () -> new StorageId("s1"), SEGMENT_BYTES);
  }
}
