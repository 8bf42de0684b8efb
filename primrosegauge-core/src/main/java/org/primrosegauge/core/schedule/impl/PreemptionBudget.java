package org.primrosegauge.core.schedule.impl;

/** Limits preemptions for order and moves: a token bucket that refills evenly over the hour. */
final class PreemptionBudget {

  private static final long HOUR_MILLIS = 3_600_000;
  private static final int BURST = 8;

  private final int perHour;
  private long credit = BURST * HOUR_MILLIS;
  private long updatedMillis;

  PreemptionBudget(int perHour) {
    this.perHour = perHour;
  }

  boolean isOpen(long nowMillis) {
    long gained = (nowMillis - updatedMillis) * perHour;
    credit = Math.min(BURST * HOUR_MILLIS, credit + Math.max(0, gained));
    updatedMillis = nowMillis;
    return credit >= HOUR_MILLIS;
  }

  /** Takes preemptions; the credit may become negative, which delays the next ones. */
  void take(int preemptions) {
    credit -= preemptions * HOUR_MILLIS;
  }
}
