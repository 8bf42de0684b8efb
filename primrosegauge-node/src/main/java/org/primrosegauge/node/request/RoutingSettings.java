package org.primrosegauge.node.request;

import org.primrosegauge.core.request.cfg.RouterSettings;

/**
 * Settings of the request path of one instance. Immutable.
 *
 * @param router settings of the decisions
 * @param executorLeaseMillis time after which a silent executor gets nothing new, in milliseconds
 * @param offerMillis time between two reports to the peers, in milliseconds
 * @param maxDeadlineMillis longest time that a caller may ask for, in milliseconds
 * @param maxBufferedBytes most bytes of request bodies held at a time
 * @since 0.1
 */
public record RoutingSettings(
    RouterSettings router,
    long executorLeaseMillis,
    long offerMillis,
    long maxDeadlineMillis,
    long maxBufferedBytes) {

  /** Defaults. An executor that announces itself every 500 ms may lose two announcements. */
  public static final RoutingSettings DEFAULTS =
      new RoutingSettings(RouterSettings.DEFAULTS, 1_900, 250, 600_000, 16L * 1024 * 1024);

  /** Checks the ranges. */
  public RoutingSettings {
    if (executorLeaseMillis < 1 || offerMillis < 1 || maxDeadlineMillis < 1) {
      throw new IllegalArgumentException("times must be positive");
    }
    if (maxBufferedBytes < 1) {
      throw new IllegalArgumentException("maxBufferedBytes must be positive");
    }
  }

  /**
   * Returns a copy with another limit of buffered bytes.
   *
   * @since 0.1
   */
  public RoutingSettings withMaxBufferedBytes(long value) {
    return new RoutingSettings(router, executorLeaseMillis, offerMillis, maxDeadlineMillis, value);
  }
}
