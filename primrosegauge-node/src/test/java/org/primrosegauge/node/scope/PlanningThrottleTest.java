package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PlanningThrottleTest {

  private static final long END_MILLIS = 60_000;

  private final PlanningThrottle throttle = new PlanningThrottle();

  /**
   * Guards against planning that takes most of the leader's thread: at 231 events per second, each
   * was followed by a pass (issue 16).
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 7, 74, 249})
  void expensivePassesStayWithinTheirShareUnderSteadyEvents(long passMillis) {
    long now = 0;
    long planningMillis = 0;
    while (now < END_MILLIS) {
      throttle.eventHandled();
      if (throttle.tryBeginPass(now)) {
        now += passMillis;
        planningMillis += passMillis;
        throttle.passEnded(now, TimeUnit.MILLISECONDS.toNanos(passMillis));
      } else {
        now++;
      }
    }
    long maxMillis = END_MILLIS * PlanningThrottle.MAX_SHARE_PERCENT / 100 + passMillis;
    assertThat(planningMillis).isAtMost(maxMillis);
  }

  /** An urgent job at an idle leader must not wait for the next tick. */
  @Test
  void eventOnIdleLeaderIsPlannedImmediately() {
    throttle.eventHandled();
    assertThat(throttle.tryBeginPass(1_000)).isTrue();
    throttle.passEnded(1_003, TimeUnit.MILLISECONDS.toNanos(3));
    throttle.eventHandled();
    assertThat(throttle.dueMillis()).isAtMost(2_000);
    assertThat(throttle.tryBeginPass(2_000)).isTrue();
  }

  /** An event during a pause must be planned even if no further event follows. */
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

  /** A process suspended for seconds during a pass must not pause planning for further seconds. */
  @Test
  void suspensionDuringPassDoesNotStopPlanning() {
    throttle.eventHandled();
    assertThat(throttle.tryBeginPass(1_000)).isTrue();
    throttle.passEnded(6_000, TimeUnit.MILLISECONDS.toNanos(5_000));
    throttle.eventHandled();
    assertThat(throttle.tryBeginPass(6_000 + PlanningThrottle.MAX_PAUSE_MILLIS)).isTrue();
  }

  /** A pass that fails every time must not monopolize the thread. */
  @Test
  void failedPassIsNotRepeatedUntilNextEvent() {
    throttle.eventHandled();
    assertThat(throttle.tryBeginPass(1_000)).isTrue();
    assertThat(throttle.dueMillis()).isEqualTo(Long.MAX_VALUE);
    throttle.eventHandled();
    assertThat(throttle.tryBeginPass(1_001)).isTrue();
  }
}
