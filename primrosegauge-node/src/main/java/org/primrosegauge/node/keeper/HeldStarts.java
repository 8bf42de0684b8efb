package org.primrosegauge.node.keeper;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.schedule.SchedulerAction;

/**
 * Starts that wait until the record of the start is held by the peers or the log.
 *
 * <p>Single-threaded; owned by the keeper duty.
 */
final class HeldStarts {

  /**
   * Longest hold, in milliseconds. Shorter than the scheduler's time-out of a start, so that no
   * start is sent for an attempt that the scheduler has given up.
   */
  static final long MOST_MILLIS = 1_000;

  private record Held(SchedulerAction.Start start, long sinceMillis) {}

  private final Deque<Held> waiting = new ArrayDeque<>();

  /** Holds a start. All starts of a gang share one time, so that they are dropped together. */
  void add(SchedulerAction.Start start, long nowMillis) {
    Held last = waiting.peekLast();
    boolean sameGang = last != null && isSameGang(last.start().task(), start.task());
    waiting.add(new Held(start, sameGang ? last.sinceMillis() : nowMillis));
  }

  private static boolean isSameGang(TaskId one, TaskId other) {
    return one.job().equals(other.job()) && one.attempt() == other.attempt();
  }

  /** Sends the starts that may be sent now, and drops those that waited too long. */
  void release(long nowMillis, Predicate<TaskId> mayStart, Consumer<SchedulerAction.Start> sender) {
    for (int left = waiting.size(); left > 0; left--) {
      Held held = waiting.remove();
      if (nowMillis - held.sinceMillis() >= MOST_MILLIS) {
        continue;
      }
      if (mayStart.test(held.start().task())) {
        sender.accept(held.start());
      } else {
        waiting.add(held);
      }
    }
  }
}
