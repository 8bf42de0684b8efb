package org.primrosegauge.node.daemon;

import java.util.function.BooleanSupplier;
import org.primrosegauge.node.http.HttpApi;
import org.primrosegauge.node.metrics.NodeMetrics;

/** Metrics, health and readiness of an instance; they answer also while it drains. Stateless. */
final class HealthRoutes {

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private HealthRoutes() {}

  static void addTo(
      HttpApi http, NodeMetrics metrics, BooleanSupplier healthy, BooleanSupplier ready) {
    http.routeAlways(
            HttpApi.Method.GET,
            "/metrics",
            x -> x.sendText(OK, "text/plain; version=0.0.4", metrics.prometheusText()))
        .routeAlways(
            HttpApi.Method.GET,
            "/healthz",
            x ->
                healthy.getAsBoolean()
                    ? x.sendText(OK, "text/plain", "ok\n")
                    : x.sendText(UNAVAILABLE, "text/plain", "storage failed\n"))
        .routeAlways(
            HttpApi.Method.GET,
            "/readyz",
            x ->
                ready.getAsBoolean()
                    ? x.sendText(OK, "text/plain", "ready\n")
                    : x.sendText(UNAVAILABLE, "text/plain", "not ready\n"));
  }
}
