package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.primrosegauge.core.HostPort;

/**
 * Guards against RECLAIM: of the starts of a large gang on one worker, only as many were sent as
 * its connections and their short queue took. Plays the queues in virtual time.
 */
class OrderQueuesTest {

  private static final HostPort WORKER = worker(1);
  private static final long NEVER = Long.MAX_VALUE;

  /** Time within which a gang has to begin, in milliseconds. */
  private static final long BOUND_MILLIS = 2_900;

  /** Time after which a request to a silent worker has the result that there is no response. */
  private static final long TIMEOUT_MILLIS = 500;

  /** A result that is due. */
  private record Due(long atMillis, HostPort worker) {}

  private final OrderQueues queues = new OrderQueues();
  private final PriorityQueue<Due> due =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
  private final Map<HostPort, Integer> open = new HashMap<>();
  private final List<Long> sent = new ArrayList<>();
  private int dropped;
  private int mostOpen;
  private long now;

  private static HostPort worker(int number) {
    return new HostPort("10.0.0." + number, 80);
  }

  private void submit(HostPort worker, long responseMillis) {
    Runnable send =
        () -> {
          sent.add(now);
          mostOpen = Math.max(mostOpen, open.merge(worker, 1, Integer::sum));
          due.add(new Due(now + responseMillis, worker));
        };
    queues.submit(worker, new OrderQueues.Order(send, () -> dropped++), now);
  }

  private void runUntil(long endMillis) {
    while (!due.isEmpty() && due.peek().atMillis() <= endMillis) {
      Due next = due.poll();
      now = next.atMillis();
      open.merge(next.worker(), -1, Integer::sum);
      queues.completed(next.worker(), now);
    }
    now = endMillis == NEVER ? now : endMillis;
  }

  static Stream<Arguments> gangs() {
    return IntStream.of(1, 12, 13, 48, 49, 250, 256)
        .boxed()
        .flatMap(
            size ->
                IntStream.of(1, 3, 6)
                    .boxed()
                    .flatMap(
                        workers ->
                            Stream.of(0L, 5L, 20L, 40L)
                                .map(millis -> Arguments.of(size, workers, millis))));
  }

  @ParameterizedTest
  @MethodSource("gangs")
  void gangIsStartedAsFastAsItsWorkersRespond(int size, int workers, long responseMillis) {
    for (int i = 0; i < size; i++) {
      submit(worker(i % workers), responseMillis);
    }
    runUntil(NEVER);
    assertThat(sent).hasSize(size);
    assertThat(dropped).isEqualTo(0);
    assertThat(mostOpen).isAtMost(OrderQueues.MAX_OPEN);
    int rounds = (size / workers + OrderQueues.MAX_OPEN) / OrderQueues.MAX_OPEN;
    assertThat(now).isAtMost((rounds + 1) * responseMillis);
    assertThat(now).isLessThan(BOUND_MILLIS);
  }

  @Test
  void requestsToSilentWorkerAreNotSentForLongAndDelayNoOther() {
    for (int i = 0; i < 250; i++) {
      submit(WORKER, TIMEOUT_MILLIS);
      submit(worker(2), 5);
    }
    runUntil(BOUND_MILLIS);
    assertThat(open.get(worker(2))).isEqualTo(0);
    assertThat(queues.waiting()).isEqualTo(0);
    long rounds = OrderQueues.MAX_WAIT_MILLIS / TIMEOUT_MILLIS + 1;
    assertThat(250 - dropped).isAtMost((int) rounds * OrderQueues.MAX_OPEN);
  }

  @Test
  void requestBeyondTheLimitIsNotSent() {
    for (int i = 0; i < OrderQueues.MAX_OPEN + OrderQueues.MAX_WAITING; i++) {
      submit(WORKER, 1);
    }
    assertThat(dropped).isEqualTo(0);
    submit(WORKER, 1);
    assertThat(dropped).isEqualTo(1);
  }

  @Test
  void discardedRequestsHaveNoResult() {
    for (int i = 0; i < 100; i++) {
      submit(WORKER, 5);
    }
    queues.clearWaiting();
    runUntil(NEVER);
    assertThat(sent).hasSize(OrderQueues.MAX_OPEN);
    assertThat(dropped).isEqualTo(0);
    submit(WORKER, 5);
    assertThat(sent).hasSize(OrderQueues.MAX_OPEN + 1);
  }
}
