package org.primrosegauge.core.scope;

/**
 * What became of an order to start a run.
 *
 * @since 0.2
 */
public enum StartResult {
  /** The run is there. */
  STARTED,
  /** A higher fencing token was seen there; nothing was done. */
  FENCED,
  /** This run or a later one has already been stopped or has ended there. */
  SUPERSEDED,
  /** The order came after its deadline; nothing was done. */
  LATE,
  /** There is no room; nothing was done. */
  NO_ROOM,
  /** The worker is unwell; nothing was done. */
  UNWELL,
  /** Another lifetime answered; the one meant is over. */
  OTHER_LIFETIME,
  /** The order is malformed; nothing was done. */
  MALFORMED,
  /** No answer: the order may still be carried out. */
  NO_ANSWER
}
