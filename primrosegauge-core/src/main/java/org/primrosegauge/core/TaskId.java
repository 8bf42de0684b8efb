package org.primrosegauge.core;

/**
 * Identifies a task within one attempt of a job.
 *
 * @param job job the task belongs to
 * @param attempt attempt number of the gang, starting at 1
 * @param index index of the task within the gang, starting at 0
 * @since 0.1
 */
public record TaskId(JobId job, int attempt, int index) {

  /** Validates the ranges of attempt and index. */
  public TaskId {
    if (attempt < 1 || index < 0) {
      throw new IllegalArgumentException(
          "task id is out of range: attempt " + attempt + ", index " + index);
    }
  }

  @Override
  public String toString() {
    return job + "/" + attempt + "/" + index;
  }
}
