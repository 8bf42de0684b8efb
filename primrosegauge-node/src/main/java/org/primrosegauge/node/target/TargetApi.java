package org.primrosegauge.node.target;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.membership.InstanceStatus;
import org.primrosegauge.core.request.TargetLoad;
import org.primrosegauge.node.http.HttpApi;
import org.primrosegauge.node.http.HttpExchange;
import org.primrosegauge.node.keeper.KeeperDuty;
import org.primrosegauge.node.membership.Membership;
import org.primrosegauge.node.request.RoutingDuty;
import org.primrosegauge.wire.api.TargetView;
import org.primrosegauge.wire.target.AnnouncementReply;
import org.primrosegauge.wire.target.WorkerAnnouncement;
import org.primrosegauge.wire.target.WorkerRenewal;
import reactor.core.publisher.Mono;

/**
 * Interface for workers, which announce themselves to any instance of their failure domain and are
 * sent on to its keeper, and the list of this instance's targets for operators.
 *
 * <p>Thread-safe: it keeps no state.
 *
 * @since 0.1
 */
public final class TargetApi {

  private static final int MAX_ANNOUNCEMENT_BYTES = 1024 * 1024;
  private static final int MAX_RENEWAL_BYTES = 256;
  private static final int OK = 200;

  private final Membership membership;
  private final KeeperDuty keeper;
  private final RoutingDuty requests;

  /**
   * Creates the interface.
   *
   * @since 0.1
   */
  public TargetApi(Membership membership, KeeperDuty keeper, RoutingDuty requests) {
    this.membership = membership;
    this.keeper = keeper;
    this.requests = requests;
  }

  /**
   * Adds the routes. Announcements are taken also while the instance drains.
   *
   * @since 0.1
   */
  public void addTo(HttpApi http) {
    http.routeAlways(HttpApi.Method.POST, "/v1/targets/workers/{id}", this::announceWorker)
        .routeAlways(HttpApi.Method.POST, "/v1/targets/workers/{id}/renewal", this::renewWorker)
        .routeAlways(HttpApi.Method.GET, "/v1/targets", this::list);
  }

  private Mono<Void> list(HttpExchange exchange) {
    return Mono.zip(keeper.targets(), requests.targets(), TargetApi::joined)
        .flatMap(targets -> exchange.sendJson(OK, targets));
  }

  private static List<TargetView> joined(List<TargetView> workers, List<TargetLoad> executors) {
    return Stream.concat(workers.stream(), executors.stream().map(TargetApi::view))
        .sorted(Comparator.comparing(TargetView::id))
        .toList();
  }

  private static TargetView view(TargetLoad executor) {
    return new TargetView(
        executor.id(),
        "executor",
        executor.domain(),
        null,
        executor.state().name().toLowerCase(Locale.ROOT),
        executor.occupied(),
        executor.capacity());
  }

  private Mono<Void> announceWorker(HttpExchange exchange) throws PrimrosegaugeException {
    TargetId id = TargetId.parse(exchange.pathPart("id"), "path");
    return exchange
        .json(WorkerAnnouncement.class, MAX_ANNOUNCEMENT_BYTES)
        .flatMap(announcement -> checked(announcement))
        .flatMap(announcement -> keeper.announced(id, announcement))
        .flatMap(reply -> reply.map(Mono::just).orElseGet(this::redirect))
        .flatMap(reply -> exchange.sendJson(OK, reply));
  }

  private Mono<Void> renewWorker(HttpExchange exchange) throws PrimrosegaugeException {
    TargetId id = TargetId.parse(exchange.pathPart("id"), "path");
    return exchange
        .json(WorkerRenewal.class, MAX_RENEWAL_BYTES)
        .flatMap(renewal -> keeper.renewed(id, renewal))
        .flatMap(reply -> reply.map(Mono::just).orElseGet(this::redirect))
        .flatMap(reply -> exchange.sendJson(OK, reply));
  }

  private Mono<WorkerAnnouncement> checked(WorkerAnnouncement announcement) {
    boolean complete =
        announcement.address() != null
            && announcement.domain() != null
            && announcement.rack() != null
            && announcement.capacity() != null
            && announcement.tasks() != null
            && announcement.ended() != null;
    if (!complete) {
      return Mono.error(
          new InvalidInputException(
              "the announcement is incomplete",
              "send address, domain, rack, capacity, tasks and ended",
              "body"));
    }
    if (!announcement.domain().equals(membership.domain())) {
      return Mono.error(
          new InvalidInputException(
              "this instance serves failure domain " + membership.domain(),
              "announce the worker to an instance of " + announcement.domain(),
              "body .domain"));
    }
    return Mono.just(announcement);
  }

  private Mono<AnnouncementReply> redirect() {
    return membership
        .keeperOf(membership.domain())
        .filter(known -> !known.equals(membership.self()))
        .flatMap(membership::status)
        .map(InstanceStatus::httpAddress)
        .map(address -> Mono.just(new AnnouncementReply(0, address, null)))
        .orElseGet(() -> Mono.error(noKeeper()));
  }

  private static PrimrosegaugeException noKeeper() {
    return new PrimrosegaugeException(
        ErrorKind.UNAVAILABLE,
        "the failure domain has no keeper now",
        "announce again in a second; tasks go on running",
        "");
  }
}
