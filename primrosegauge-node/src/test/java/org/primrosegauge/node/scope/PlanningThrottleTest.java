package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PlanningThrottleTest {

  private static final long END_MILLIS = 60_000;

  private final PlanningThrottle throttle = new PlanningThrottle();

  /** Issue 16: a pass after each of 231 events a second took most of the leader's thread. */
  @ParameterizedTest
  @ValueSource(longs = {1, 7, 74, 249})
  void expensivePassesStayWithinTheirShareUnderSteadyEvents(long passMillis) {
    long now = 0;
    long planning = 0;
    while (now < END_MILLIS) {
      throttle.eventHandled();
      if (throttle.tryBeginPass(now)) {
        now += passMillis;
        planning += passMillis;
        throttle.passEnded(now, TimeUnit.MILLISECONDS.toNanos(passMillis));
      } else {
        now++;
      }
    }
    long mostMillis = END_MILLIS * PlanningThrottle.MAX_SHARE_PERCENT / 100 + passMillis;
    assertThat(planning).isAtMost(mostMillis);
  }

  /** An urgent job on an idle leader must not wait for the next tick. */
  @Test
  void eventOnIdleLeaderIsPlannedImmediately() {
    throttle.eventHandled();
    assertThat(throttle.tryBeginPass(1_000)).isTrue();
    throttle.passEnded(1_003, TimeUnit.MILLISECONDS.toNanos(3));
    throttle.eventHandled();
    assertThat(throttle.dueMillis()).isAtMost(2_000);
    assertThat(throttle.tryBeginPass(2_000)).isTrue();
  }

  /** An event during the pause must not be forgotten when nothing else happens. */
  @Test
  void eventDuringPauseIsPlannedWhenPauseEnds() {
    throttle.eventHandled();
    assertThat(throttle.tryBeginPass(1_000)).isTrue();
    throttle.passEnded(1_040, TimeUnit.MILLISECONDS.toNanos(40));
    throttle.eventHandled();
    assertThat(throttle.tryBeginPass(1_041)).isFalse();
    assertThat(throttle.dueMillis()).isEqualTo(1_080);
    assertThat(throttle.tryBeginPass(1_080)).isTrue();
    throttle.passEnded(1_120, TimeUnit.MILLISECONDS.toNanos(40));
    assertThat(throttle.dueMillis()).isEqualTo(Long.MAX_VALUE);
  }

  /** A process frozen for seconds during a pass must not pause planning for seconds more. */
  @Test
  void suspensionDuringPassDoesNotStopPlanning() {
    throttle.eventHandled();
    assertThat(throttle.tryBeginPass(1_000)).isTrue();
    throttle.passEnded(6_000, TimeUnit.MILLISECONDS.toNanos(5_000));
    throttle.eventHandled();
    assertThat(throttle.tryBeginPass(6_000 + PlanningThrottle.MAX_PAUSE_MILLIS)).isTrue();
  }

  /** A pass that fails each time must not keep the thread busy with nothing else. */
  @Test
  void failedPassIsNotRepeatedUntilNextEvent() {
    throttle.eventHandled();
    assertThat(throttle.tryBeginPass(1_000)).isTrue();
    assertThat(throttle.dueMillis()).isEqualTo(Long.MAX_VALUE);
    throttle.eventHandled();
    assertThat(throttle.tryBeginPass(1_001)).isTrue();
  }
}
