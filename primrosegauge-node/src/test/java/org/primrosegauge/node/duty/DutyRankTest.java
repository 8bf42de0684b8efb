package org.primrosegauge.node.duty;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.node.duty.Duty.Rank;

/** Which of many waiting tasks a duty runs; driven without its thread, in virtual time. */
class DutyRankTest {

  private static final int CAPACITY = 64;
  private static final long TICK_MILLIS = 50;

  /** Longest wait of the log's own work behind other work. */
  private static final long MOST_WAIT_MILLIS = 50;

  /** Interval in which a leader has to tell its peers that it leads. */
  private static final long HEARTBEAT_MILLIS = 200;

  private static final long DECISION_MILLIS = 40;
  private static final long PLANNING_MILLIS = 40;
  private static final long TICK_COST_MILLIS = 40;

  private final List<String> order = new ArrayList<>();
  private long now = 1_000;
  private long ticks;

  private final Duty.Settling planning =
      new Duty.Settling() {
        @Override
        public void settle(long nowMillis) {
          work(PLANNING_MILLIS);
        }

        @Override
        public long dueMillis() {
          return 0;
        }
      };

  private final Duty duty =
      new Duty(
          "test", CAPACITY, TICK_MILLIS, () -> now, this::tick, () -> Long.MAX_VALUE, planning);

  private void tick(long nowMillis) {
    ticks++;
    work(TICK_COST_MILLIS);
  }

  /** A message of the log arrives as the work begins. */
  private void work(long millis) {
    duty.offer(Rank.FIRST, named("log"));
    now += millis;
  }

  private Runnable named(String name) {
    return () -> order.add(name);
  }

  /** Issue 16: a leader behind with decisions answered its own log late and lost its lease. */
  @Test
  void messageOfTheLogWaitsForNoQueueOfDecisions() {
    duty.begin();
    long end = now + 5_000;
    while (now < end) {
      while (duty.offer(() -> work(DECISION_MILLIS))) {
        order.clear();
      }
      duty.turn();
    }
    assertThat(order).contains("log");
    assertThat(duty.takeLoad().longestFirstWaitMillis()).isAtMost(MOST_WAIT_MILLIS);
  }

  /** A task of the first rank that arrives while a decision is made must be the next to run. */
  @Test
  void firstRankRunsBeforeTasksThatWaitedLonger() {
    duty.begin();
    duty.offer(
        () -> {
          order.add("decision 1");
          duty.offer(Rank.FIRST, named("message"));
        });
    duty.offer(named("decision 2"));
    duty.offer(Rank.ANSWER, named("answer"));
    duty.turn();
    assertThat(order)
        .containsExactly("answer", "decision 1", "message", "decision 2", "log")
        .inOrder();
  }

  /** A look whose answer is lost is never sent again, so the lease there would run out. */
  @Test
  void answersAreTakenWhenAllElseIsRefused() {
    duty.begin();
    while (duty.offer(named("decision"))) {
      assertThat(order).isEmpty();
    }
    for (int i = 0; i < 10 * CAPACITY; i++) {
      assertThat(duty.offer(Rank.ANSWER, named("answer"))).isTrue();
    }
    long end = now + 5_000;
    while (now < end) {
      duty.turn();
    }
    order.removeIf(name -> name.equals("log"));
    assertThat(order.subList(0, 10 * CAPACITY)).doesNotContain("decision");
  }

  /** Messages of the log that never end must not keep its tick from running. */
  @Test
  void floodOfTheFirstRankDoesNotStopTicks() {
    duty.begin();
    long end = now + 5_000;
    while (now < end) {
      while (duty.offer(Rank.FIRST, () -> now += 1)) {
        order.clear();
      }
      duty.turn();
    }
    assertThat(ticks).isAtLeast(5_000 / HEARTBEAT_MILLIS);
  }

  /** A flood of reads must not keep submissions and heartbeats from being taken. */
  @Test
  void floodOfReadsTakesNoRoomFromOthers() {
    duty.begin();
    while (duty.offer(Rank.READ, named("read"))) {
      assertThat(order).isEmpty();
    }
    assertThat(duty.offer(Rank.CALL, named("call"))).isTrue();
    assertThat(duty.offer(Rank.USUAL, named("heartbeat"))).isTrue();
    duty.turn();
    assertThat(order.subList(0, 3)).containsExactly("heartbeat", "call", "read").inOrder();
  }
}
