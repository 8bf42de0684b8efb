package org.primrosegauge.core.scope;

import org.primrosegauge.core.ServiceId;

/**
 * Configuration of a queue to which callers submit jobs.
 *
 * @param name name
 * @param host host name under which callers reach the queue
 * @param pathPrefix prefix of the paths that are routed to the queue
 * @param pool service whose workers run its jobs
 * @param priority priority; 0 is the most urgent and may preempt others
 * @param maxAttempts number of failed runs of a task after which its job fails
 * @param slackFactor objective for the completion time, as a multiple of the critical path of a job
 * @param latencyMillis fixed part that is added to that objective, in milliseconds
 * @param isPublic whether callers may submit jobs without an API key
 * @since 0.2
 */
public record QueueSpec(
    QueueName name,
    String host,
    String pathPrefix,
    ServiceId pool,
    int priority,
    int maxAttempts,
    double slackFactor,
    int latencyMillis,
    boolean isPublic) {

  /**
   * A result keeps some of its value while the job takes less than this many times what it may
   * take.
   *
   * @since 0.4
   */
  public static final int LATE_FACTOR = 3;

  /**
   * Returns the time that a job may take, in milliseconds.
   *
   * @param criticalPathMillis time of its longest chain of steps, in milliseconds
   * @since 0.4
   */
  public long allowedMillis(long criticalPathMillis) {
    return (long) (slackFactor * criticalPathMillis) + latencyMillis;
  }
}
