package org.primrosegauge.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.primrosegauge.bench.load.LoadOutcome.Service;

/** Replays the patterns of bad days; a replay fails by itself when a promise is broken. */
class LoadReplayTest {

  private static final List<Long> SEEDS = List.of(1L, 2L);

  /**
   * Callers who wait for their answer are not worse off than with first come, first served. The
   * naive replay has perfect workers, so the patterns with trouble to workers are left out.
   */
  @ParameterizedTest
  @EnumSource(
      value = LoadPattern.class,
      names = {"CALM", "URGENT_BURST", "WIDE_STEPS", "WIDE_GANGS", "CANCEL_WAVE", "POISON"})
  void urgentJobsAndTheWholeAreServedAsWellAsByTheNaivePolicy(LoadPattern pattern) {
    LoadOutcome ours = LoadReplay.runAll(pattern, SEEDS);
    LoadOutcome naive = NaiveReplay.runAll(pattern, SEEDS);
    assertThat(ours.size()).isEqualTo(naive.size());
    assertThat(ours.share(Service.NOT_SERVED, LoadReplayTest::isUrgent))
        .isAtMost(naive.share(Service.NOT_SERVED, LoadReplayTest::isUrgent));
    assertThat(ours.worthShare()).isAtLeast(naive.worthShare());
  }

  /** A replay throws when a task runs twice, starts too early or resumes what is not its own. */
  @ParameterizedTest
  @EnumSource(LoadPattern.class)
  void everyPatternKeepsThePromises(LoadPattern pattern) {
    LoadOutcome outcome = LoadReplay.runAll(pattern, List.of(11L));
    assertThat(outcome.usefulCoreSeconds).isGreaterThan(outcome.lostCoreSeconds);
  }

  @Test
  void sameSeedGivesTheSameOutcome() {
    LoadOutcome one = LoadReplay.runAll(LoadPattern.WORKERS_LOST, List.of(7L));
    LoadOutcome two = LoadReplay.runAll(LoadPattern.WORKERS_LOST, List.of(7L));
    assertThat(one.worthShare()).isEqualTo(two.worthShare());
    assertThat(one.stops).isEqualTo(two.stops);
    assertThat(one.lostCoreSeconds).isEqualTo(two.lostCoreSeconds);
  }

  private static boolean isUrgent(LoadJob job) {
    return job.kind() == LoadKind.URGENT;
  }
}
