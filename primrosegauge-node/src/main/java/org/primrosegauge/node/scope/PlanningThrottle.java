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
final class PlanningThrottle {

  /** Largest share of the thread's time that planning takes. */
  static final int MAX_SHARE_PERCENT = 50;

  /**
   * Longest pause after a pass. A process that stood still during a pass has measured a time that
   * was no cost.
   */
  static final long MAX_PAUSE_MILLIS = 250;

  private static final int HUNDRED_PERCENT = 100;

  /** Long past, so that a comparison with any present finds it due. */
  private static final long IMMEDIATELY = Long.MIN_VALUE;

  private boolean hasNewEvents;
  private boolean isPassPending;
  private long notBeforeMillis = IMMEDIATELY;

  /** Notes an event, after which there may be something to plan. */
  void eventHandled() {
    hasNewEvents = true;
    isPassPending = true;
  }

  /** Forgets what was noted. */
  void clear() {
    hasNewEvents = false;
    isPassPending = false;
  }

  /** Returns when {@link #tryBeginPass} is to be asked, or what needs no planning is to be done. */
  long dueMillis() {
    if (hasNewEvents) {
      return IMMEDIATELY;
    }
    return isPassPending ? notBeforeMillis : Long.MAX_VALUE;
  }

  /**
   * Tells whether a pass is wanted and may begin. If so, it is for the events so far, whether it
   * ends well or not; if not, they stay noted.
   */
  boolean tryBeginPass(long nowMillis) {
    hasNewEvents = false;
    boolean may = isPassPending && nowMillis >= notBeforeMillis;
    isPassPending = isPassPending && !may;
    return may;
  }

  /**
   * Notes that a pass has ended.
   *
   * @param nanos time that it took, in nanoseconds
   */
  void passEnded(long nowMillis, long nanos) {
    long others = nanos * (HUNDRED_PERCENT - MAX_SHARE_PERCENT) / MAX_SHARE_PERCENT;
    long pause = TimeUnit.NANOSECONDS.toMillis(others);
    notBeforeMillis = nowMillis + Math.min(pause, MAX_PAUSE_MILLIS);
  }
}
