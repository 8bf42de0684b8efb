package org.primrosegauge.core.log;

/**
 * Step of a random schedule.
 *
 * @param kind kind of step
 * @param node selects an instance
 * @param other selects a second instance
 * @param amount selects a duration, a command or a percentage
 */
record LogStep(Kind kind, int node, int other, int amount) {

  /** Kind of step. */
  enum Kind {
    RUN,
    PROPOSE,
    RACE,
    CUT_ONE_WAY,
    CUT_BOTH_WAYS,
    HEAL,
    FREEZE,
    CRASH,
    POWER_LOSS,
    RESTART,
    HAND_OVER,
    WIPE,
    ADD_LEARNER,
    PROMOTE,
    REMOVE,
    REPLACE,
    LOSS
  }
}
