package org.primrosegauge.wire.api;

import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.site.Adjacency;

/**
 * Body with which a caller submits a job. Fields that are left out take the defaults of {@link
 * #toSpec}.
 *
 * @param id id made by the caller; null to have one made
 * @param customer customer that the job belongs to
 * @param tasks size of the gang
 * @param milliCores processor of one task, in thousandths of a core
 * @param memoryMib memory of one task, in MiB
 * @param accelerators accelerators of one task
 * @param adjacency how close the tasks shall lie; domain when left out
 * @param adjacencyRequired whether the adjacency is a condition
 * @param urgent whether the job starts before others
 * @param preemptible whether it may be checkpointed and queued again; true when left out
 * @param repeatable whether it may run again after a failure; true when left out
 * @param declaredMillis declared run time, in milliseconds
 * @param deadlineMillis time after which the job is given up, in milliseconds
 * @param command text that the workers execute
 * @since 0.1
 */
public record JobSubmission(
    String id,
    String customer,
    int tasks,
    long milliCores,
    long memoryMib,
    int accelerators,
    Adjacency adjacency,
    boolean adjacencyRequired,
    boolean urgent,
    Boolean preemptible,
    Boolean repeatable,
    long declaredMillis,
    long deadlineMillis,
    String command) {

  /** Longest command, in characters. */
  public static final int MAX_COMMAND_CHARACTERS = 4_096;

  private static final String LOCATION = "body";

  /**
   * Checks the fields and returns the job.
   *
   * @param madeId id to use when the caller made none
   * @throws InvalidInputException naming the first field that breaks a rule
   * @since 0.1
   */
  public JobSpec toSpec(JobId madeId) throws InvalidInputException {
    checkRange("tasks", tasks, 1, JobSpec.MAX_TASKS);
    checkRange("milliCores", milliCores, 0, Integer.MAX_VALUE);
    checkRange("memoryMib", memoryMib, 0, Integer.MAX_VALUE);
    checkRange("accelerators", accelerators, 0, Short.MAX_VALUE);
    checkRange("declaredMillis", declaredMillis, 0, Long.MAX_VALUE);
    checkRange("deadlineMillis", deadlineMillis, 0, Long.MAX_VALUE);
    if (command == null || command.length() > MAX_COMMAND_CHARACTERS) {
      throw new InvalidInputException(
          "command is missing or too long",
          "send a command of at most " + MAX_COMMAND_CHARACTERS + " characters",
          LOCATION + " .command");
    }
    return new JobSpec(
        id == null ? madeId : JobId.parse(id, LOCATION + " .id"),
        CustomerId.parse(customer, LOCATION + " .customer"),
        tasks,
        new Resources(milliCores, memoryMib, accelerators),
        adjacency == null ? Adjacency.DOMAIN : adjacency,
        adjacencyRequired,
        urgent,
        preemptible == null || preemptible,
        repeatable == null || repeatable,
        declaredMillis,
        deadlineMillis,
        command);
  }

  private static void checkRange(String field, long value, long least, long most)
      throws InvalidInputException {
    if (value < least || value > most) {
      throw new InvalidInputException(
          field + " is " + value,
          "use a whole number from " + least + " to " + most,
          LOCATION + " ." + field);
    }
  }
}
