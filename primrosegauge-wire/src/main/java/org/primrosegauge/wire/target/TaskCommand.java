package org.primrosegauge.wire.target;

import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.Resources;

/**
 * What a keeper asks of a worker, for one task. The worker refuses a term lower than one it has
 * seen.
 *
 * @param action what to do
 * @param term term of the keeper, the fencing token
 * @param resources resources to reserve; null for other actions
 * @param leaseMillis how long a reservation holds without a start, in milliseconds; 0 for other
 *     actions
 * @param command text to execute; null for actions other than the start
 * @param record job record to give back in reports; null for actions other than the start
 * @since 0.1
 */
public record TaskCommand(
    Action action,
    Term term,
    Resources resources,
    long leaseMillis,
    String command,
    String record) {

  /** Actions on a task. */
  public enum Action {
    /** Holds resources for the task, without running it. */
    RESERVE,
    /** Runs a reserved task. */
    START,
    /** Drops a reservation. */
    RELEASE,
    /** Saves the task's state and ends it. */
    CHECKPOINT,
    /** Slows the task down to its declared resources. */
    THROTTLE,
    /** Ends the task at once. */
    STOP
  }
}
