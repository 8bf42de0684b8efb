package org.primrosegauge.standin.scope;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/**
 * Plays drawn sequences of whatever callers, operators, workers and leaders may do, and judges them
 * by what these have seen. {@code bin/search} plays more of them and shortens those that break
 * something.
 */
class ScopeSearchTest {

  private static final Set<SearchRule> SOUND =
      EnumSet.complementOf(EnumSet.of(SearchRule.PENDING, SearchRule.GUARANTEE));

  @Provide
  Arbitrary<Long> seeds() {
    return Arbitraries.longs().between(1, 1_000_000_000);
  }

  @Property(tries = 150, seed = "20261207", shrinking = ShrinkingMode.OFF)
  void drawnSequencesBreakNoRule(@ForAll("seeds") long seed) {
    assertKept(seed, List.of(SearchKind.values()), SOUND);
  }

  @Property(tries = 60, seed = "20261208", shrinking = ShrinkingMode.OFF)
  void drawnSequencesOfCallsAndOrdersBreakNoRule(@ForAll("seeds") long seed) {
    assertKept(seed, SearchKind.UNDISTURBED, SOUND);
  }

  /** A claim waits for ever when unclaimed room of others is scattered. */
  @Property(tries = 60, seed = "20261209", shrinking = ShrinkingMode.OFF)
  void claimsWithinTheirGuaranteeBeginInTime(@ForAll("seeds") long seed) {
    assertKept(seed, SearchKind.UNDISTURBED, Set.of(SearchRule.GUARANTEE));
  }

  private static void assertKept(long seed, List<SearchKind> kinds, Set<SearchRule> rules) {
    assertWithMessage("seed " + seed)
        .that(SearchPlay.play(seed, SearchPlan.draw(seed, kinds), rules))
        .isEmpty();
  }
}
