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
  private long longestFirstWaitMillis;
  private long longestTaskMillis;
  private long busyMillis;

  /**
   * Load of a duty during some time.
   *
   * @param tasks tasks that have run
   * @param waiting tasks that wait now
   * @param longestWaitMillis longest time that one of them waited, in milliseconds
   * @param longestFirstWaitMillis the same of those of the first rank, in milliseconds
   * @param longestTaskMillis longest time that one of them took, in milliseconds
   * @param busyMillis time that all of them took, in milliseconds
   * @since 0.3
   */
  public record Figures(
      long tasks,
      int waiting,
      long longestWaitMillis,
      long longestFirstWaitMillis,
      long longestTaskMillis,
      long busyMillis) {

    /** Load of a duty that has done nothing. */
    public static final Figures NONE = new Figures(0, 0, 0, 0, 0, 0);
  }

  void ran(Duty.Rank rank, long waitMillis, long taskMillis) {
    tasks++;
    if (rank == Duty.Rank.FIRST) {
      longestFirstWaitMillis = Math.max(longestFirstWaitMillis, waitMillis);
    }
    longestWaitMillis = Math.max(longestWaitMillis, waitMillis);
    longestTaskMillis = Math.max(longestTaskMillis, taskMillis);
    busyMillis += taskMillis;
  }

  Figures take(int waiting) {
    final Figures taken =
        new Figures(
            tasks,
            waiting,
            longestWaitMillis,
            longestFirstWaitMillis,
            longestTaskMillis,
            busyMillis);
    tasks = 0;
    longestWaitMillis = 0;
    longestFirstWaitMillis = 0;
    longestTaskMillis = 0;
    busyMillis = 0;
    return taken;
  }
}
