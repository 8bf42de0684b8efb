package org.primrosegauge.node.duty;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** What a duty does between batches of tasks; driven without its thread, in virtual time. */
class DutySettlingTest {

  private static final int EVENTS = 200;
  private static final long TICK_MILLIS = 50;

  private long now = 1_000;
  private long settled;
  private long settleAt = Long.MAX_VALUE;
  private long ticks;

  private final Duty.Settling settling =
      new Duty.Settling() {
        @Override
        public void settle(long nowMillis) {
          settled++;
          settleAt = Long.MAX_VALUE;
        }

        @Override
        public long dueMillis() {
          return settleAt;
        }
      };

  private final Duty duty =
      new Duty(
          "test", 1_024, TICK_MILLIS, () -> now, at -> ticks++, () -> Long.MAX_VALUE, settling);

  private void event(long costMillis) {
    now += costMillis;
    settleAt = 0;
  }

  /** Issue 16: each event of a burst was followed by a pass of the planner. */
  @Test
  void burstOfEventsIsSettledOnce() {
    duty.begin();
    for (int i = 0; i < EVENTS; i++) {
      duty.offer(() -> event(0));
    }
    duty.turn();
    assertThat(settled).isEqualTo(1);
  }

  /** A single event on an idle thread must not wait for the tick. */
  @Test
  void singleEventIsSettledInItsOwnTurn() {
    duty.begin();
    duty.turn();
    duty.offer(() -> event(0));
    duty.turn();
    assertThat(settled).isEqualTo(1);
    assertThat(ticks).isEqualTo(1);
  }

  /** A long queue of slow tasks must not keep the ticks, and what is to be settled, waiting. */
  @Test
  void longQueueOfSlowTasksDelaysNeitherTickNorSettling() {
    duty.begin();
    for (int i = 0; i < EVENTS; i++) {
      duty.offer(() -> event(5));
    }
    long end = now + 5 * EVENTS;
    while (now < end) {
      duty.turn();
    }
    assertThat(ticks).isAtLeast(5 * EVENTS / (TICK_MILLIS + 25));
    assertThat(settled).isAtLeast(5 * EVENTS / 25);
  }

  /** Something that is due later must wake an idle thread then, not at the next tick. */
  @Test
  void idleThreadSleepsUntilSettlingIsDue() {
    duty.begin();
    duty.turn();
    settleAt = now + 12;
    assertThat(duty.turn()).isEqualTo(12);
    now += 12;
    duty.turn();
    assertThat(settled).isEqualTo(1);
  }
}
