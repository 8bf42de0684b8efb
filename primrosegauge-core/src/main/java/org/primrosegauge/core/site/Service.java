package org.primrosegauge.core.site;

import org.primrosegauge.core.ServiceId;

/**
 * A service whose requests are processed by executors.
 *
 * @param id id of the service
 * @param maxBodyBytes maximum size of a request or response body, in bytes
 * @param timeoutMillis timeout of a request without a deadline from the caller, in milliseconds
 * @param maxQueued maximum number of requests that wait for a slot in one instance
 * @param retryPercent maximum number of retries per 100 first attempts
 * @param executorSlots maximum number of concurrent requests to one executor, regardless of the
 *     number it announces
 * @param executorConnections maximum number of concurrent connections from all instances to one
 *     executor
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

  /** Default number of slots per executor. */
  public static final int DEFAULT_EXECUTOR_SLOTS = 8;

  /** Default number of connections per executor. */
  public static final int DEFAULT_EXECUTOR_CONNECTIONS = 60;

  /**
   * Creates a service with the default executor limits.
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
