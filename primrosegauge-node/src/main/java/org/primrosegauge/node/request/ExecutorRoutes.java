package org.primrosegauge.node.request;

import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.NotFoundException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.request.TargetAnnouncement;
import org.primrosegauge.node.http.HttpApi;
import org.primrosegauge.node.http.HttpExchange;
import org.primrosegauge.wire.target.AnnouncementReply;
import org.primrosegauge.wire.target.ExecutorAnnouncement;
import reactor.core.publisher.Mono;

/**
 * Executors' interface: {@code POST /v1/targets/executors/{id}} announces an executor and renews
 * its lease. It stays open during a shutdown, so that requests in flight keep their executors.
 *
 * <p>Thread-safe.
 */
final class ExecutorRoutes {

  private static final int MAX_BODY_BYTES = 4_096;
  private static final int MAX_SLOTS = 4_096;
  private static final int OK = 200;

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
        .json(ExecutorAnnouncement.class, MAX_BODY_BYTES)
        .flatMap(report -> Mono.fromCallable(() -> checked(id, report, lease)))
        .flatMap(this::announce)
        .then(Mono.defer(() -> exchange.sendJson(OK, new AnnouncementReply(lease, null, null))));
  }

  /** Checks what came from outside and adds what this instance decides. */
  private static TargetAnnouncement checked(
      TargetId id, ExecutorAnnouncement sent, long leaseMillis) throws InvalidInputException {
    String address = sent.address();
    require(address != null && address.startsWith("http://"), "address", "an http:// address");
    require(sent.service() != null, "service", "the id of the service");
    require(sent.domain() != null, "domain", "the id of the failure domain");
    boolean slotsInRange = sent.slots() >= 1 && sent.slots() <= MAX_SLOTS;
    require(slotsInRange, "slots", "a number from 1 to " + MAX_SLOTS);
    require(sent.connections() >= 1, "connections", "a number from 1");
    require(sent.inProgress() >= 0, "inProgress", "a number from 0");
    return new TargetAnnouncement(
        id,
        sent.service(),
        sent.domain(),
        address,
        sent.slots(),
        sent.connections(),
        sent.inProgress(),
        sent.leaving(),
        leaseMillis);
  }

  private static void require(boolean holds, String field, String expected)
      throws InvalidInputException {
    if (!holds) {
      throw new InvalidInputException(
          field + " is missing or out of range", "state " + expected, "body ." + field);
    }
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
