package org.primrosegauge.node.scope;

import java.util.concurrent.TimeUnit;

/**
 * Decides when planning is due, so that it takes a bounded share of its thread.
 *
 * <p>Events that come while it may not plan yet share the next pass. A pass that costs little is
 * followed by the next at once; one that costs much leaves as much time to the log, the workers and
 * the callers as it took itself.
 *
 * <p>Used on the log thread only; each method takes the present in the clock's milliseconds.
 */
final class PlanningPace {

  /** Largest share of the thread's time that planning takes. */
  static final int MOST_SHARE_PERCENT = 50;

  /**
   * Longest pause after a pass. A process that stood still during a pass has measured a time that
   * was no cost.
   */
  static final long LONGEST_PAUSE_MILLIS = 250;

  private static final int WHOLE_PERCENT = 100;

  /** Long past, so that a comparison with any present finds it due. */
  private static final long AT_ONCE = Long.MIN_VALUE;

  private boolean isFresh;
  private boolean isWanted;
  private long notBeforeMillis = AT_ONCE;

  /** Notes an event, after which there may be something to plan. */
  void changed() {
    isFresh = true;
    isWanted = true;
  }

  /** Forgets what was noted. */
  void clear() {
    isFresh = false;
    isWanted = false;
  }

  /** Returns when {@link #mayPlan} is to be asked, or what needs no planning is to be done. */
  long dueMillis() {
    if (isFresh) {
      return AT_ONCE;
    }
    return isWanted ? notBeforeMillis : Long.MAX_VALUE;
  }

  /**
   * Tells whether a pass is wanted and may begin. If so, it is for the events so far, whether it
   * ends well or not; if not, they stay noted.
   */
  boolean mayPlan(long nowMillis) {
    isFresh = false;
    boolean may = isWanted && nowMillis >= notBeforeMillis;
    isWanted = isWanted && !may;
    return may;
  }

  /**
   * Notes that a pass has ended.
   *
   * @param nanos time that it took, in nanoseconds
   */
  void planned(long nowMillis, long nanos) {
    long others = nanos * (WHOLE_PERCENT - MOST_SHARE_PERCENT) / MOST_SHARE_PERCENT;
    long pause = TimeUnit.NANOSECONDS.toMillis(others);
    notBeforeMillis = nowMillis + Math.min(pause, LONGEST_PAUSE_MILLIS);
  }
}
