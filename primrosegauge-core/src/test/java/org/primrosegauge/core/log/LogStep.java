package org.primrosegauge.core.log;

/**
 * Step of a schedule.
 *
 * @param kind what happens
 * @param node chooses an instance
 * @param other chooses a second instance
 * @param amount chooses a length or a command
 */
record LogStep(Kind kind, int node, int other, int amount) {

  /** What happens. */
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
    LOSS
  }
}
