package org.primrosegauge.core.scope;

/**
 * Measures for how long ended jobs have been kept, from the wall clock times of the commands.
 *
 * <p>The wall clock of a leader may jump, and that of the next leader may differ. A step between
 * two commands counts for at most {@link #MAX_STEP_MILLIS}, and a step back does not count, so a
 * jump never makes jobs expire at once. While commands are rare, jobs are kept longer.
 *
 * <p>Deterministic. Not thread-safe.
 */
final class RetentionClock {

  /** Longest time that passes from one command to the next, in milliseconds. */
  static final long MAX_STEP_MILLIS = 10_000;

  private static final long NOT_STARTED = 0;

  private long nowMillis = NOT_STARTED;
  private long wallMillis;

  /** Returns the time as of the latest command, in milliseconds. */
  long nowMillis() {
    return nowMillis;
  }

  /**
   * Advances the time to that of a command.
   *
   * @param commandMillis time of the command by its leader's wall clock, in milliseconds since 1970
   */
  void advance(long commandMillis) {
    if (nowMillis == NOT_STARTED) {
      nowMillis = commandMillis;
    } else if (commandMillis > wallMillis) {
      nowMillis += Math.min(commandMillis - wallMillis, MAX_STEP_MILLIS);
    }
    wallMillis = commandMillis;
  }

  ScopeSnapshot.RetentionState snapshot() {
    return new ScopeSnapshot.RetentionState(nowMillis, wallMillis);
  }

  void restore(ScopeSnapshot.RetentionState state) {
    nowMillis = state.nowMillis();
    wallMillis = state.wallMillis();
  }
}
