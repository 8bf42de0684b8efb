package org.primrosegauge.core.scope;

/**
 * What became of an order to stop a run.
 *
 * @since 0.2
 */
public enum StopResult {
  /** The run ends, or will never begin. */
  STOPPING,
  /** A higher fencing token was seen there; nothing was done. */
  FENCED,
  /** Another lifetime answered; the one meant is over. */
  OTHER_LIFETIME,
  /** No answer. */
  NO_ANSWER
}
