package org.primrosegauge.core.schedule;

/**
 * How a task ended on its worker.
 *
 * @since 0.1
 */
public enum TaskOutcome {
  /** It ran to its end. */
  DONE,
  /** It ended with an error of its own. */
  FAILED,
  /** It saved its progress and ended on request. */
  CHECKPOINTED,
  /** It was stopped, or its worker does not know it any more. */
  LOST
}
