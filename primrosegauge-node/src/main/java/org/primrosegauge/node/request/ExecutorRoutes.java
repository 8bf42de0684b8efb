package org.primrosegauge.node.request;

import org.primrosegauge.core.NotFoundException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.request.TargetAnnouncement;
import org.primrosegauge.node.http.HttpApi;
import org.primrosegauge.node.http.HttpExchange;
import reactor.core.publisher.Mono;

/**
 * Executors' interface: {@code POST /v1/targets/executors/{id}} announces an executor and renews
 * its lease. It stays open during a shutdown, so that requests in flight keep their executors.
 *
 * <p>Thread-safe.
 */
final class ExecutorRoutes {

  private static final int MAX_BODY_BYTES = 4_096;
  private static final int OK = 200;

  /** Answer to an announcement. */
  private record Reply(long leaseMillis) {}

  private final RoutingDuty duty;

  ExecutorRoutes(RoutingDuty duty) {
    this.duty = duty;
  }

  void register(HttpApi api) {
    api.routeAlways(HttpApi.Method.POST, "/v1/targets/executors/{id}", this::handle);
  }

  private Mono<Void> handle(HttpExchange exchange) throws PrimrosegaugeException {
    TargetId id = TargetId.parse(exchange.pathPart("id"), "path");
    long lease = duty.settings().executorLeaseMillis();
    return exchange
        .json(ExecutorReport.class, MAX_BODY_BYTES)
        .flatMap(report -> Mono.fromCallable(() -> report.toAnnouncement(id, lease)))
        .flatMap(this::announce)
        .then(Mono.defer(() -> exchange.sendJson(OK, new Reply(lease))));
  }

  private Mono<Void> announce(TargetAnnouncement announcement) {
    return duty.announced(announcement)
        .flatMap(known -> known ? Mono.empty() : Mono.error(unknownService(announcement)));
  }

  private static NotFoundException unknownService(TargetAnnouncement announcement) {
    return new NotFoundException(
        "service " + announcement.service() + " is not configured",
        "correct the name or ask an operator to configure it",
        "body .service");
  }
}
