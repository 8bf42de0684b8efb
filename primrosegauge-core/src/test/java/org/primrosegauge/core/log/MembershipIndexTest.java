package org.primrosegauge.core.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.impl.MemoryLog;

/** The members that the log keeps at hand are those that a search through its entries finds. */
class MembershipIndexTest {

  private static final Term TERM = new Term(1);
  private static final int STEPS = 400;

  private final MemoryLog log =
      new MemoryLog(new RecoveredLog(new StorageId("s"), HardState.INITIAL, null, List.of()));

  private static Membership members(long number) {
    ReplicaId replica = new ReplicaId(new InstanceId("i" + number), new StorageId("s" + number));
    return new Membership(List.of(new Member(replica, Member.Role.VOTER)));
  }

  private LogSnapshot snapshotAt(long index) {
    return new LogSnapshot(new LogIndex(index), TERM, 0, log.membershipAt(index), new byte[0]);
  }

  private void change(SplittableRandom random) {
    long last = log.lastIndex();
    long oldest = Math.max(log.baseIndex(), log.snapshotIndex());
    int kind = random.nextInt(20);
    if (kind == 0 && last > oldest) {
      log.truncateAfter(oldest + random.nextLong(last - oldest));
    } else if (kind == 1 && last > oldest) {
      log.compact(snapshotAt(oldest + 1 + random.nextLong(last - oldest)), 3, 10_000);
    } else if (kind == 2 && random.nextInt(5) == 0) {
      log.reset(new LogSnapshot(new LogIndex(last + 5), TERM, 0, members(last + 5), new byte[0]));
    } else {
      Membership changed = random.nextInt(6) == 0 ? members(last + 1) : null;
      log.append(new LogEntry(new LogIndex(last + 1), TERM, 0, changed, new byte[0]));
    }
  }

  private long searchedIndex() {
    for (long at = log.lastIndex(); at > log.baseIndex(); at--) {
      if (log.entry(at).membership() != null) {
        return at;
      }
    }
    return 0;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void latestChangeOfMembersIsNotTheOneInTheEntries(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    for (int step = 0; step < STEPS; step++) {
      change(random);
      long expected = searchedIndex();
      assertThat(log.membershipIndex()).isEqualTo(expected);
      if (expected > log.snapshotIndex()) {
        assertThat(log.membership()).isEqualTo(log.entry(expected).membership());
      }
    }
  }
}
