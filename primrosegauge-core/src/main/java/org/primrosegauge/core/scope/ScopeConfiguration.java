package org.primrosegauge.core.scope;

import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.Revision;

/**
 * Configuration of a scope, as accepted.
 *
 * @param revision number given by the operators; the highest is in force
 * @param queues queues
 * @param customers customers
 * @param maxBodyBytes longest body of a submission, in bytes
 * @since 0.2
 */
public record ScopeConfiguration(
    Revision revision, List<QueueSpec> queues, List<CustomerSpec> customers, int maxBodyBytes) {

  /** Configuration of a scope that was never configured. */
  public static final ScopeConfiguration NONE =
      new ScopeConfiguration(Revision.NONE, List.of(), List.of(), 0);

  /** Copies the lists into ones that are searched by key: each call and each decision asks. */
  public ScopeConfiguration {
    queues = new QueueList(queues);
    customers = new CustomerList(customers);
  }

  /**
   * Tells whether operators have configured the scope.
   *
   * @since 0.2
   */
  public boolean isConfigured() {
    return !revision.equals(Revision.NONE);
  }

  /**
   * Returns the queue with the longest prefix that a path of a host begins with.
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
   * Returns a queue by its name.
   *
   * @since 0.2
   */
  public Optional<QueueSpec> queue(QueueName name) {
    return ((QueueList) queues).find(name);
  }

  /**
   * Returns the priority of a queue, 0 first; the lowest when the queue is gone.
   *
   * @since 0.3
   */
  public int priorityOf(QueueName name) {
    return queue(name).map(QueueSpec::priority).orElse(Integer.MAX_VALUE);
  }

  /**
   * Returns the customer that a key belongs to.
   *
   * @since 0.2
   */
  public Optional<CustomerId> customerOf(String key) {
    return ((CustomerList) customers).findByKey(key).map(CustomerSpec::id);
  }

  /**
   * Returns the accelerators guaranteed to a customer; 0 for one that is not configured.
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
