package org.primrosegauge.core.job;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;

class HomeDomainsTest {

  private static final List<FailureDomainId> DOMAINS =
      List.of(
          new FailureDomainId("klang"),
          new FailureDomainId("klang.north"),
          new FailureDomainId("penang"),
          new FailureDomainId("johor"));

  @Test
  void longestMatchingDomainPrefixIsTheHome() {
    assertThat(HomeDomains.homeOf(new JobId("klang.north.plan"), DOMAINS))
        .hasValue(new FailureDomainId("klang.north"));
    assertThat(HomeDomains.homeOf(HomeDomains.jobIdWithHome(DOMAINS.get(2), "x"), DOMAINS))
        .hasValue(DOMAINS.get(2));
  }

  @Property(seed = "31", tries = 200)
  void homeDoesNotDependOnOrderOfDomains(
      @ForAll @IntRange(min = 0, max = 100_000) int number, @ForAll long shuffleSeed) {
    List<FailureDomainId> shuffled = new ArrayList<>(DOMAINS);
    Collections.shuffle(shuffled, new Random(shuffleSeed));
    JobId id = new JobId("plan-" + number);
    assertThat(HomeDomains.homeOf(id, shuffled)).isEqualTo(HomeDomains.homeOf(id, DOMAINS));
  }

  @Test
  void removingDomainMovesOnlyItsOwnIds() {
    List<FailureDomainId> remaining = DOMAINS.subList(0, 3);
    Set<FailureDomainId> homes = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      JobId id = new JobId("plan-" + i);
      FailureDomainId before = HomeDomains.homeOf(id, DOMAINS).orElseThrow();
      homes.add(before);
      if (!before.equals(DOMAINS.get(3))) {
        assertThat(HomeDomains.homeOf(id, remaining)).hasValue(before);
      }
    }
    assertThat(homes).containsExactlyElementsIn(DOMAINS);
  }
}
