package org.primrosegauge.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.Term;

class InstanceDirectoryTest {

  private static final long EXPIRY_MILLIS = 100;
  private static final FailureDomainId KLANG = new FailureDomainId("klang");
  private static final List<InstanceId> IDS =
      List.of(new InstanceId("a"), new InstanceId("b"), new InstanceId("c"));

  private final InstanceDirectory directory =
      new InstanceDirectory(
          Map.of(IDS.get(0), KLANG, IDS.get(1), KLANG, IDS.get(2), KLANG), EXPIRY_MILLIS);

  private static InstanceStatus status(
      int instance, long incarnation, long sequence, long term, long revision) {
    return new InstanceStatus(
        IDS.get(instance),
        KLANG,
        incarnation,
        sequence,
        true,
        new Term(term),
        new Revision(revision),
        Revision.NONE,
        0,
        "http://127.0.0.1:1");
  }

  @Test
  void silentInstanceIsNeitherKeeperNorInForce() {
    directory.received(status(0, 1, 1, 3, 5), 0);
    directory.received(status(1, 1, 1, 2, 5), 90);
    assertThat(directory.keeperOf(KLANG, 99).orElseThrow().instance()).isEqualTo(IDS.get(0));
    assertThat(directory.keeperOf(KLANG, 100).orElseThrow().instance()).isEqualTo(IDS.get(1));
    assertThat(directory.notInForce(new Revision(5), 100))
        .containsExactly(IDS.get(0), IDS.get(2))
        .inOrder();
  }

  /** Statuses that arrive late or twice never replace a newer one. */
  @Property(seed = "71", tries = 300)
  void anyOrderOfArrivalEndsWithTheNewestStatus(
      @ForAll @Size(max = 30) List<@IntRange(min = 0, max = 26) Integer> arrivals) {
    InstanceDirectory shuffled = new InstanceDirectory(Map.of(IDS.get(0), KLANG), EXPIRY_MILLIS);
    Map<InstanceId, InstanceStatus> oracle = new HashMap<>();
    for (int code : arrivals) {
      InstanceStatus next = status(0, code / 9, code % 9, 0, code);
      shuffled.received(next, 0);
      oracle.merge(IDS.get(0), next, (a, b) -> b.isNewerThan(a) ? b : a);
    }
    assertThat(shuffled.status(IDS.get(0), 0).orElse(null)).isEqualTo(oracle.get(IDS.get(0)));
  }
}
