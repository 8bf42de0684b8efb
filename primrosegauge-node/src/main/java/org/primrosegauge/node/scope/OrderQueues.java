package org.primrosegauge.node.scope;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import org.primrosegauge.core.HostPort;

/**
 * Queues of the start and stop requests to each worker. A limited number of them is open at a time;
 * the others follow in order, as fast as the worker responds.
 *
 * <p>A gang may have all of its tasks on one worker. What waits here has not been sent, which its
 * sender is told if the queue is full or does not move.
 *
 * <p>Not thread-safe; used on the log thread.
 */
final class OrderQueues {

  /**
   * Largest number of open requests to one worker. Fewer than a worker's connections, so that polls
   * never wait for requests.
   */
  static final int MAX_OPEN = 12;

  /**
   * Largest number of waiting requests to one worker: the starts and stops of a few large gangs.
   */
  static final int MAX_WAITING = 2_048;

  /** Longest time that a request waits, in milliseconds. */
  static final long MAX_WAIT_MILLIS = 2_000;

  /**
   * A request.
   *
   * @param send sends it; {@link #completed} follows
   * @param drop called instead if it is not sent
   */
  record Order(Runnable send, Runnable drop) {}

  private record Waiting(Order order, long sinceMillis) {}

  private static final class Line {

    private final Queue<Waiting> waiting = new ArrayDeque<>();
    private int open;
  }

  private final Map<HostPort, Line> lines = new HashMap<>();

  /** Sends a request to a worker, now or after those before it. */
  void submit(HostPort worker, Order order, long nowMillis) {
    Line line = lines.computeIfAbsent(worker, key -> new Line());
    if (line.open < MAX_OPEN) {
      line.open++;
      order.send().run();
    } else if (line.waiting.size() < MAX_WAITING) {
      line.waiting.add(new Waiting(order, nowMillis));
    } else {
      order.drop().run();
    }
  }

  /** Notes that a request to a worker that was sent has a result, and sends the next one. */
  void completed(HostPort worker, long nowMillis) {
    Line line = lines.get(worker);
    Waiting next = line.waiting.poll();
    while (next != null && nowMillis - next.sinceMillis() > MAX_WAIT_MILLIS) {
      next.order().drop().run();
      next = line.waiting.poll();
    }
    if (next != null) {
      next.order().send().run();
      return;
    }
    line.open--;
    if (line.open == 0) {
      lines.remove(worker);
    }
  }

  /** Discards what waits. Nobody is interested in its results any more. */
  void clearWaiting() {
    lines.values().forEach(line -> line.waiting.clear());
  }

  /** Returns the number of requests that wait for any worker. */
  int waiting() {
    return lines.values().stream().mapToInt(line -> line.waiting.size()).sum();
  }
}
