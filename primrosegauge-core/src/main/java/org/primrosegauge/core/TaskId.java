package org.primrosegauge.core;

/**
 * Identifies one task of one attempt of a job.
 *
 * @param job job the task belongs to
 * @param attempt attempt number of the whole gang, from 1
 * @param index position within the gang, from 0
 * @since 0.1
 */
public record TaskId(JobId job, int attempt, int index) {

  /** Checks the ranges. */
  public TaskId {
    if (attempt < 1 || index < 0) {
      throw new IllegalArgumentException("attempt " + attempt + ", index " + index);
    }
  }

  @Override
  public String toString() {
    return job + "/" + attempt + "/" + index;
  }
}
