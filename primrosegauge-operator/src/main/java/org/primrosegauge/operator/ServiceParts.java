package org.primrosegauge.operator;

import java.time.Duration;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.site.Service;

/**
 * Limits of a service; what is not set has the default of the settings page. One use by one thread.
 *
 * @since 0.1
 */
public final class ServiceParts {

  private static final int BYTES_PER_KIB = 1_024;

  private final ServiceId id;
  private int maxBodyBytes = 1_024 * BYTES_PER_KIB;
  private long timeoutMillis = 30_000;
  private int maxQueued = 256;
  private int retryPercent = 10;
  private int slots = Service.DEFAULT_EXECUTOR_SLOTS;
  private int connections = Service.DEFAULT_EXECUTOR_CONNECTIONS;

  ServiceParts(ServiceId id) {
    this.id = id;
  }

  /**
   * Sets the largest request or answer body, in KiB.
   *
   * @since 0.1
   */
  public ServiceParts bodiesUpToKib(int kib) {
    maxBodyBytes = Math.multiplyExact(kib, BYTES_PER_KIB);
    return this;
  }

  /**
   * Sets the time-out of a request whose caller states no deadline.
   *
   * @since 0.1
   */
  public ServiceParts timeout(Duration timeout) {
    timeoutMillis = timeout.toMillis();
    return this;
  }

  /**
   * Sets the most requests that wait for a slot in one instance.
   *
   * @since 0.1
   */
  public ServiceParts queueUpTo(int requests) {
    maxQueued = requests;
    return this;
  }

  /**
   * Sets the retries allowed per 100 first tries.
   *
   * @since 0.1
   */
  public ServiceParts retryPercent(int percent) {
    retryPercent = percent;
    return this;
  }

  /**
   * Sets the most requests at once that one executor is given.
   *
   * @since 0.1
   */
  public ServiceParts slotsPerExecutor(int number) {
    slots = number;
    return this;
  }

  /**
   * Sets the most connections at once to one executor.
   *
   * @since 0.1
   */
  public ServiceParts connectionsPerExecutor(int number) {
    connections = number;
    return this;
  }

  Service build() {
    return new Service(
        id, maxBodyBytes, timeoutMillis, maxQueued, retryPercent, slots, connections);
  }
}
