package org.primrosegauge.node.request;

import org.primrosegauge.core.request.AttemptOutcome;

/**
 * How an attempt ended, with the answer if there is one.
 *
 * @param outcome outcome for the router
 * @param answer answer; {@link WholeAnswer#NONE} without one
 */
record AttemptResult(AttemptOutcome outcome, WholeAnswer answer) {

  static AttemptResult without(AttemptOutcome outcome) {
    return new AttemptResult(outcome, WholeAnswer.NONE);
  }
}
