package org.primrosegauge.node.request;

import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.http.HttpApi;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.transport.PeerTransport;

/**
 * Joins the routing duty with its interfaces. Stateless.
 *
 * @since 0.1
 */
public final class RequestPath {

  private RequestPath() {}

  /**
   * Registers the interfaces for callers, executors and peers. To be called before the server and
   * the transport start.
   *
   * @since 0.1
   */
  public static void register(
      RoutingDuty duty,
      HttpApi api,
      PeerTransport transport,
      MonotonicClock clock,
      NodeMetrics metrics) {
    RequestIds ids = new RequestIds();
    new CallerRoutes(duty, ids, clock, metrics).register(api);
    new ExecutorRoutes(duty).register(api);
    new PeerRequests(duty, ids, clock).register(transport);
  }
}
