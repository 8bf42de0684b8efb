package org.primrosegauge.node.duty;

/**
 * Counts what a duty does: its tasks, and how long they waited and took.
 *
 * <p>Not thread-safe; owned by the duty's thread.
 *
 * @since 0.3
 */
public final class DutyLoad {

  private long tasks;
  private long longestWaitMillis;
  private long longestTaskMillis;
  private long busyMillis;

  /**
   * Load of a duty during some time.
   *
   * @param tasks tasks that have run
   * @param waiting tasks that wait now
   * @param longestWaitMillis longest time that one of them waited, in milliseconds
   * @param longestTaskMillis longest time that one of them took, in milliseconds
   * @param busyMillis time that all of them took, in milliseconds
   * @since 0.3
   */
  public record Figures(
      long tasks, int waiting, long longestWaitMillis, long longestTaskMillis, long busyMillis) {}

  void ran(long waitMillis, long taskMillis) {
    tasks++;
    longestWaitMillis = Math.max(longestWaitMillis, waitMillis);
    longestTaskMillis = Math.max(longestTaskMillis, taskMillis);
    busyMillis += taskMillis;
  }

  Figures take(int waiting) {
    final Figures taken =
        new Figures(tasks, waiting, longestWaitMillis, longestTaskMillis, busyMillis);
    tasks = 0;
    longestWaitMillis = 0;
    longestTaskMillis = 0;
    busyMillis = 0;
    return taken;
  }
}
