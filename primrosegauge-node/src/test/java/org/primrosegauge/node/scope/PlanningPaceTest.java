package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PlanningPaceTest {

  private static final long END_MILLIS = 60_000;

  private final PlanningPace pace = new PlanningPace();

  /** Issue 16: a pass after each of 231 events a second took most of the leader's thread. */
  @ParameterizedTest
  @ValueSource(longs = {1, 7, 74, 249})
  void planningThatCostsMuchLeavesTheThreadToOthersUnderSteadyEvents(long passMillis) {
    long now = 0;
    long planning = 0;
    while (now < END_MILLIS) {
      pace.changed();
      if (pace.mayPlan(now)) {
        now += passMillis;
        planning += passMillis;
        pace.planned(now, TimeUnit.MILLISECONDS.toNanos(passMillis));
      } else {
        now++;
      }
    }
    long mostMillis = END_MILLIS * PlanningPace.MOST_SHARE_PERCENT / 100 + passMillis;
    assertThat(planning).isAtMost(mostMillis);
  }

  /** An urgent job on an idle leader must not wait for the next tick. */
  @Test
  void eventOnIdleLeaderIsPlannedAtOnce() {
    pace.changed();
    assertThat(pace.mayPlan(1_000)).isTrue();
    pace.planned(1_003, TimeUnit.MILLISECONDS.toNanos(3));
    pace.changed();
    assertThat(pace.dueMillis()).isAtMost(2_000);
    assertThat(pace.mayPlan(2_000)).isTrue();
  }

  /** An event during the pause must not be forgotten when nothing else happens. */
  @Test
  void eventDuringPauseIsPlannedWhenThePauseEnds() {
    pace.changed();
    assertThat(pace.mayPlan(1_000)).isTrue();
    pace.planned(1_040, TimeUnit.MILLISECONDS.toNanos(40));
    pace.changed();
    assertThat(pace.mayPlan(1_041)).isFalse();
    assertThat(pace.dueMillis()).isEqualTo(1_080);
    assertThat(pace.mayPlan(1_080)).isTrue();
    pace.planned(1_120, TimeUnit.MILLISECONDS.toNanos(40));
    assertThat(pace.dueMillis()).isEqualTo(Long.MAX_VALUE);
  }

  /** A process frozen for seconds during a pass must not pause planning for seconds more. */
  @Test
  void freezeDuringPassDoesNotStopPlanning() {
    pace.changed();
    assertThat(pace.mayPlan(1_000)).isTrue();
    pace.planned(6_000, TimeUnit.MILLISECONDS.toNanos(5_000));
    pace.changed();
    assertThat(pace.mayPlan(6_000 + PlanningPace.LONGEST_PAUSE_MILLIS)).isTrue();
  }

  /** A pass that fails each time must not keep the thread busy with nothing else. */
  @Test
  void passThatFailsIsNotRepeatedUntilTheNextEvent() {
    pace.changed();
    assertThat(pace.mayPlan(1_000)).isTrue();
    assertThat(pace.dueMillis()).isEqualTo(Long.MAX_VALUE);
    pace.changed();
    assertThat(pace.mayPlan(1_001)).isTrue();
  }
}
