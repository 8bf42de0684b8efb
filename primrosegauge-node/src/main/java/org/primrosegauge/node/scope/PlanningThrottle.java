package org.primrosegauge.node.scope;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a planning pass is due, so that planning takes a bounded share of the log thread.
 *
 * <p>Events that arrive while planning is paused share the next pass. A cheap pass is followed by
 * the next one immediately; after an expensive pass planning pauses for as long as the pass took,
 * which leaves that time to the log, the workers and the callers.
 *
 * <p>Used on the log thread only; times are in milliseconds of the monotonic clock.
 */
final class PlanningThrottle {

  /** Largest share of the thread's time that planning may take, in percent. */
  static final int MAX_SHARE_PERCENT = 50;

  /**
   * Longest pause after a pass, in milliseconds. It is bounded because a process that was suspended
   * during a pass measures a duration that is not planning cost.
   */
  static final long MAX_PAUSE_MILLIS = 250;

  private static final int HUNDRED_PERCENT = 100;

  /** A time in the distant past, so that it is due at any current time. */
  private static final long IMMEDIATELY = Long.MIN_VALUE;

  private boolean hasNewEvents;
  private boolean isPassPending;
  private long notBeforeMillis = IMMEDIATELY;

  /** Called after each event; it may have left something to plan. */
  void eventHandled() {
    hasNewEvents = true;
    isPassPending = true;
  }

  /** Discards the pending pass. */
  void clear() {
    hasNewEvents = false;
    isPassPending = false;
  }

  /**
   * Returns when {@link #tryBeginPass} must be called next: immediately after an event, so that
   * work that needs no planning is not delayed, or when a pending pass may begin.
   */
  long dueMillis() {
    if (hasNewEvents) {
      return IMMEDIATELY;
    }
    return isPassPending ? notBeforeMillis : Long.MAX_VALUE;
  }

  /**
   * Returns whether a pass is pending and may begin now. If so, the pass covers all events so far,
   * whether it succeeds or not; otherwise the pass stays pending.
   */
  boolean tryBeginPass(long nowMillis) {
    hasNewEvents = false;
    boolean begins = isPassPending && nowMillis >= notBeforeMillis;
    isPassPending = isPassPending && !begins;
    return begins;
  }

  /**
   * Called when a pass has ended.
   *
   * @param nanos duration of the pass, in nanoseconds
   */
  void passEnded(long nowMillis, long nanos) {
    long remainder = nanos * (HUNDRED_PERCENT - MAX_SHARE_PERCENT) / MAX_SHARE_PERCENT;
    long pause = TimeUnit.NANOSECONDS.toMillis(remainder);
    notBeforeMillis = nowMillis + Math.min(pause, MAX_PAUSE_MILLIS);
  }
}
