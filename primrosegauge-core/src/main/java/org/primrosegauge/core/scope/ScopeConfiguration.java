package org.primrosegauge.core.scope;

import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;

/**
 * Configuration of a scope.
 *
 * @param revision revision assigned by the operators; the highest one is in force
 * @param queues queues to which callers submit jobs
 * @param customers customers and their API keys
 * @param maxBodyBytes maximum size of the body of a submission, in bytes
 * @since 0.2
 */
public record ScopeConfiguration(
    Revision revision, List<QueueSpec> queues, List<CustomerSpec> customers, int maxBodyBytes) {

  /** Configuration of a scope before the first one is submitted. */
  public static final ScopeConfiguration NONE =
      new ScopeConfiguration(Revision.NONE, List.of(), List.of(), 0);

  /** Copies the lists into indexed ones: each call and each scheduling decision does a lookup. */
  public ScopeConfiguration {
    queues = new QueueList(queues);
    customers = new CustomerList(customers);
  }

  /**
   * Returns whether the scope has been configured.
   *
   * @since 0.2
   */
  public boolean isConfigured() {
    return !revision.equals(Revision.NONE);
  }

  /**
   * Returns the queue of a host whose path prefix is the longest that matches a path; empty if none
   * matches.
   *
   * @since 0.2
   */
  public Optional<QueueSpec> route(String host, String path) {
    QueueSpec best = null;
    for (QueueSpec queue : queues) {
      boolean matches = queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix());
      boolean isLonger = best == null || queue.pathPrefix().length() > best.pathPrefix().length();
      if (matches && isLonger) {
        best = queue;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns a queue by its name; empty if it is not configured.
   *
   * @since 0.2
   */
  public Optional<QueueSpec> queue(QueueName name) {
    return ((QueueList) queues).find(name);
  }

  /**
   * Returns the queue with exactly this host and path prefix; empty if none has both.
   *
   * @since 0.4
   */
  public Optional<QueueSpec> queueAt(String host, String pathPrefix) {
    return queues.stream()
        .filter(queue -> queue.host().equalsIgnoreCase(host))
        .filter(queue -> queue.pathPrefix().equals(pathPrefix))
        .findFirst();
  }

  /**
   * Returns the service whose workers run the jobs of a queue; empty if the queue is not configured
   * any more.
   *
   * @since 0.4
   */
  public Optional<ServiceId> poolOf(QueueName name) {
    return queue(name).map(QueueSpec::pool);
  }

  /**
   * Returns the priority of a queue, of which 0 is the most urgent; {@link Integer#MAX_VALUE} if
   * the queue is not configured any more.
   *
   * @since 0.3
   */
  public int priorityOf(QueueName name) {
    return queue(name).map(QueueSpec::priority).orElse(Integer.MAX_VALUE);
  }

  /**
   * Returns the customer that an API key belongs to; empty if the key is unknown.
   *
   * @since 0.2
   */
  public Optional<CustomerId> customerOf(String key) {
    return ((CustomerList) customers).findByKey(key).map(CustomerSpec::id);
  }

  /**
   * Returns the number of accelerators guaranteed to a customer; 0 if it is not configured.
   *
   * @since 0.2
   */
  public int guaranteedAccelerators(CustomerId customer) {
    return ((CustomerList) customers)
        .find(customer)
        .map(CustomerSpec::guaranteedAccelerators)
        .orElse(0);
  }
}
