package org.primrosegauge.core.scope;

import java.util.List;
import java.util.function.ToLongFunction;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.ServiceId;

/**
 * A job as accepted, with the name and the service that its queue has now.
 *
 * @param id id chosen by the caller
 * @param queue queue to which it was submitted, or the one that has taken that queue's place
 * @param pool service whose workers run it: that of its queue in the configuration in force, or the
 *     latest that the queue had if it is not configured any more
 * @param customer customer authenticated by its key; null on a public queue
 * @param maxAttempts number of failed runs of a task after which the job fails, as configured when
 *     it was accepted
 * @param submittedMillis time of its acceptance on the leader's clock, in milliseconds since 1970
 * @param payload text that is passed unchanged in each start request
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

  /** Makes a defensive copy of the steps. */
  public ScopeJob {
    steps = List.copyOf(steps);
  }

  /**
   * Returns whether a submission may be a repetition of this one: the same id in the same queue,
   * and not by another customer. On a public queue the customer need not be known each time.
   *
   * @since 0.4
   */
  public boolean isSameAs(ScopeJob other) {
    return id.equals(other.id) && isVisibleTo(other.queue, other.customer);
  }

  /**
   * Returns whether a caller may see and cancel this job.
   *
   * @param callerQueue queue that the caller's path names
   * @param caller customer of the caller's key; null without a known key, which only a public queue
   *     allows
   * @since 0.4
   */
  public boolean isVisibleTo(QueueName callerQueue, CustomerId caller) {
    return queue.equals(callerQueue)
        && (customer == null || caller == null || customer.equals(caller));
  }

  /**
   * Returns the same job in another queue, or with another service whose workers run it.
   *
   * @since 0.4
   */
  public ScopeJob withQueue(QueueName newQueue, ServiceId newPool) {
    return new ScopeJob(
        id, newQueue, newPool, customer, maxAttempts, submittedMillis, payload, steps, recurrence);
  }

  /**
   * Returns the number of tasks of all steps of one occurrence.
   *
   * @since 0.4
   */
  public long taskCount() {
    return steps.stream().mapToLong(StepSpec::count).sum();
  }

  /**
   * Returns the duration of the critical path through the steps, in milliseconds.
   *
   * @param runMillis returns how long a task of a step is expected to run, in milliseconds
   * @since 0.4
   */
  public long criticalPathMillis(ToLongFunction<StepSpec> runMillis) {
    long[] ends = new long[steps.size()];
    long longest = 0;
    for (int i = 0; i < ends.length; i++) {
      long start = 0;
      for (int earlier : steps.get(i).dependsOn()) {
        start = Math.max(start, ends[earlier]);
      }
      ends[i] = start + runMillis.applyAsLong(steps.get(i));
      longest = Math.max(longest, ends[i]);
    }
    return longest;
  }
}
