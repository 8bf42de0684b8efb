package org.primrosegauge.core.scope;

import java.util.List;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.ServiceId;

/**
 * A job as it was accepted.
 *
 * @param id id chosen by the caller
 * @param queue queue it was handed in to
 * @param pool service whose workers run it
 * @param customer customer whose key was shown; null on a public queue
 * @param maxAttempts failed runs of a task after which the job has failed, as of its acceptance
 * @param submittedMillis when it was accepted, in milliseconds since 1970 on the leader's clock
 * @param payload text that each start carries unchanged
 * @param steps steps, at least one
 * @param recurrence when it runs
 * @since 0.2
 */
public record ScopeJob(
    JobId id,
    QueueName queue,
    ServiceId pool,
    CustomerId customer,
    int maxAttempts,
    long submittedMillis,
    String payload,
    List<StepSpec> steps,
    Recurrence recurrence) {

  /** Copies the list. */
  public ScopeJob {
    steps = List.copyOf(steps);
  }

  /**
   * Returns the estimated time of the longest chain of steps, in milliseconds.
   *
   * @since 0.3
   */
  public long criticalPathMillis() {
    long[] ends = new long[steps.size()];
    long longest = 0;
    for (int i = 0; i < ends.length; i++) {
      long start = 0;
      for (int earlier : steps.get(i).dependsOn()) {
        start = Math.max(start, ends[earlier]);
      }
      ends[i] = start + steps.get(i).estimatedMillis();
      longest = Math.max(longest, ends[i]);
    }
    return longest;
  }
}
