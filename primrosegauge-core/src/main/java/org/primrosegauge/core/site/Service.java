package org.primrosegauge.core.site;

import org.primrosegauge.core.ServiceId;

/**
 * A service whose requests executors answer.
 *
 * @param id id of the service
 * @param maxBodyBytes largest request or answer body, in bytes
 * @param timeoutMillis time-out of a request whose caller states no deadline, in milliseconds
 * @param maxQueued most requests that wait for a slot in one instance
 * @param retryPercent retries allowed per 100 first tries
 * @param executorSlots most requests at once that one executor is given, whatever it announces
 * @param executorConnections most connections at once that all instances open to one executor
 * @since 0.1
 */
public record Service(
    ServiceId id,
    int maxBodyBytes,
    long timeoutMillis,
    int maxQueued,
    int retryPercent,
    int executorSlots,
    int executorConnections) {

  /** Slots of an executor when nothing else is configured. */
  public static final int DEFAULT_EXECUTOR_SLOTS = 8;

  /** Connections to an executor when nothing else is configured. */
  public static final int DEFAULT_EXECUTOR_CONNECTIONS = 60;

  /**
   * Creates a service with the default limits of its executors.
   *
   * @since 0.1
   */
  public Service(
      ServiceId id, int maxBodyBytes, long timeoutMillis, int maxQueued, int retryPercent) {
    this(
        id,
        maxBodyBytes,
        timeoutMillis,
        maxQueued,
        retryPercent,
        DEFAULT_EXECUTOR_SLOTS,
        DEFAULT_EXECUTOR_CONNECTIONS);
  }
}
