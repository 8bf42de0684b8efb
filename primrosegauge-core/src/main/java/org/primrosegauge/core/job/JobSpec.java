package org.primrosegauge.core.job;

import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.site.Adjacency;

/**
 * What a caller asks for: a gang of equal tasks that run all together or not at all.
 *
 * @param id id made by the caller or by the first instance
 * @param customer customer that the job belongs to
 * @param tasks size of the gang, from 1 to {@value #MAX_TASKS}
 * @param perTask declared resources of one task; may be far off the truth
 * @param adjacency how close the tasks shall lie
 * @param adjacencyRequired whether the adjacency is a condition rather than a wish
 * @param urgent whether the job starts before others and may preempt
 * @param preemptible whether the job may be checkpointed and queued again
 * @param repeatable whether the job may run again after a failure
 * @param declaredMillis declared run time, in milliseconds; 0 when unknown
 * @param deadlineMillis time from acceptance after which the job is given up, in milliseconds; 0
 *     for none
 * @param command opaque text that the workers execute
 * @since 0.1
 */
public record JobSpec(
    JobId id,
    CustomerId customer,
    int tasks,
    Resources perTask,
    Adjacency adjacency,
    boolean adjacencyRequired,
    boolean urgent,
    boolean preemptible,
    boolean repeatable,
    long declaredMillis,
    long deadlineMillis,
    String command) {

  /** Largest gang. */
  public static final int MAX_TASKS = 256;

  /** Checks the ranges. */
  public JobSpec {
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new IllegalArgumentException("gang of " + tasks + " tasks");
    }
    if (declaredMillis < 0 || deadlineMillis < 0) {
      throw new IllegalArgumentException("negative time");
    }
  }

  /**
   * Returns the declared resources of the whole gang.
   *
   * @since 0.1
   */
  public Resources total() {
    return new Resources(
        perTask.milliCores() * tasks, perTask.memoryMib() * tasks, perTask.accelerators() * tasks);
  }
}
