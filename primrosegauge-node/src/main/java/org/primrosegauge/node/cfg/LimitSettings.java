package org.primrosegauge.node.cfg;

/**
 * Limits of one instance.
 *
 * @param httpConnections most open connections of callers and operators
 * @param requestsInFlight most service requests that are queued or dispatched
 * @param jobsQueued most jobs of the home domain that wait for capacity
 * @param bodyBytes largest body that the HTTP server takes, in bytes
 * @param frameBytes largest frame between instances, in bytes
 * @param ringEvents capacity of the ring before each duty, in events
 * @param answerRetentionMillis how long a final answer is kept, in milliseconds
 * @since 0.1
 */
public record LimitSettings(
    int httpConnections,
    int requestsInFlight,
    int jobsQueued,
    int bodyBytes,
    int frameBytes,
    int ringEvents,
    long answerRetentionMillis) {

  /** Limits that the settings page documents as defaults. */
  public static final LimitSettings DEFAULT =
      new LimitSettings(
          1_024, 4_096, 10_000, 8 * 1_024 * 1_024, 4 * 1_024 * 1_024, 4_096, 3_600_000);
}
