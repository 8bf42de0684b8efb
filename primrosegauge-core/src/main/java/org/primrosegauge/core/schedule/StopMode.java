package org.primrosegauge.core.schedule;

/**
 * How a worker is asked to take capacity back from a task.
 *
 * @since 0.1
 */
public enum StopMode {
  /** Save the progress, then end. */
  CHECKPOINT,
  /** Go on within the declared resources; the task does not end. */
  THROTTLE,
  /** End at once; progress since the last checkpoint is lost. */
  STOP
}
