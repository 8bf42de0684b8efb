package org.primrosegauge.wire.target;

import org.primrosegauge.core.TaskId;

/**
 * The end of a task on a worker. Reported until it is acknowledged.
 *
 * @param task task
 * @param outcome how it ended
 * @since 0.1
 */
public record TaskEnd(TaskId task, Outcome outcome) {

  /** How a task ended. */
  public enum Outcome {
    /** By itself, well. */
    DONE,
    /** By itself, with an error. */
    FAILED,
    /** Stopped after a checkpoint. */
    CHECKPOINTED,
    /** Stopped without a checkpoint. */
    STOPPED
  }
}
