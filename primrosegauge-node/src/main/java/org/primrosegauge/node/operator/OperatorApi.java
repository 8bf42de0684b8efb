package org.primrosegauge.node.operator;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Supplier;
import org.primrosegauge.core.ConflictException;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.NotFoundException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.membership.InstanceStatus;
import org.primrosegauge.core.registry.AcceptedConfiguration;
import org.primrosegauge.core.registry.ContentDigest;
import org.primrosegauge.core.registry.HistoryEntry;
import org.primrosegauge.core.registry.RegistryCommand;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.site.DomainSwitch;
import org.primrosegauge.node.http.HttpApi;
import org.primrosegauge.node.http.HttpExchange;
import org.primrosegauge.node.log.RegistryService;
import org.primrosegauge.node.membership.Membership;
import org.primrosegauge.wire.api.ConfigurationView;
import org.primrosegauge.wire.api.DomainOrder;
import org.primrosegauge.wire.api.DomainView;
import org.primrosegauge.wire.api.InstanceView;
import org.primrosegauge.wire.api.StatusView;
import org.primrosegauge.wire.toml.SiteTomlReader;
import reactor.core.publisher.Mono;

/**
 * Operators' interface.
 *
 * <p>Thread-safe: it keeps no state.
 *
 * @since 0.1
 */
public final class OperatorApi {

  private static final int MAX_ORDER_BYTES = 4 * 1024;
  private static final int MAX_HISTORY = 1_000;
  private static final long MAX_WAIT_MILLIS = 60_000;
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);
  private static final int OK = 200;
  private static final String REQUEST_ID = "Primrosegauge-Request-Id";
  private static final String EXPECTED_REVISION = "Primrosegauge-Expected-Revision";
  private static final String OPERATOR = "Primrosegauge-Operator";

  private final Membership membership;
  private final RegistryService registry;
  private final DomainOrders orders;
  private final List<InstanceId> voters;
  private final Supplier<StatusView> status;

  /**
   * Creates the interface.
   *
   * @param voters instances that keep the log
   * @param status returns the summary of this instance
   * @since 0.1
   */
  public OperatorApi(
      Membership membership,
      RegistryService registry,
      DomainOrders orders,
      List<InstanceId> voters,
      Supplier<StatusView> status) {
    this.membership = membership;
    this.registry = registry;
    this.orders = orders;
    this.voters = List.copyOf(voters);
    this.status = status;
  }

  /**
   * Adds the routes.
   *
   * @since 0.1
   */
  public void addTo(HttpApi http) {
    http.routeAlways(HttpApi.Method.GET, "/v1/status", x -> x.sendJson(OK, status.get()))
        .routeAlways(HttpApi.Method.GET, "/v1/instances", this::instances)
        .route(HttpApi.Method.GET, "/v1/configuration", this::configuration)
        .route(HttpApi.Method.PUT, "/v1/configuration", this::apply)
        .route(HttpApi.Method.GET, "/v1/configuration/history", this::history)
        .route(HttpApi.Method.GET, "/v1/domains", this::domains)
        .route(HttpApi.Method.PUT, "/v1/domains/{id}", this::switchDomain);
  }

  // Configuration

  private Mono<Void> configuration(HttpExchange exchange) throws PrimrosegaugeException {
    long waitMillis = exchange.queryNumber("waitMillis", 0, MAX_WAIT_MILLIS);
    AcceptedConfiguration accepted = registry.view().configuration();
    return untilInForce(accepted.revision(), accepted.digest(), accepted.content(), waitMillis)
        .flatMap(view -> exchange.sendJson(OK, view));
  }

  private Mono<Void> apply(HttpExchange exchange) throws PrimrosegaugeException {
    final long waitMillis = exchange.queryNumber("waitMillis", 0, MAX_WAIT_MILLIS);
    final RequestId requestId = requestId(exchange);
    final Revision expected = expectedRevision(exchange);
    final String operator = exchange.header(OPERATOR, "operator");
    return exchange
        .body(RegistryService.MAX_CONTENT_BYTES)
        .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
        .flatMap(text -> validated(text))
        .flatMap(
            text ->
                registry.propose(
                    new RegistryCommand.ApplyConfiguration(
                        requestId, expected, ContentDigest.of(text), text, operator)))
        .flatMap(this::read)
        .flatMap(done -> untilInForce(done.revision(), done.digest(), null, waitMillis))
        .flatMap(view -> exchange.sendJson(OK, view));
  }

  private static Mono<String> validated(String text) {
    return Mono.fromCallable(
        () -> {
          SiteTomlReader.read("body", text);
          return text;
        });
  }

  private Mono<RegistryResult.ConfigurationAccepted> read(RegistryResult result) {
    if (result instanceof RegistryResult.ConfigurationAccepted accepted) {
      return Mono.just(accepted);
    }
    if (result instanceof RegistryResult.RevisionConflict conflict) {
      return Mono.error(
          new ConflictException(
              "revision "
                  + conflict.expected()
                  + " is no longer the accepted one: revision "
                  + conflict.accepted()
                  + " with digest "
                  + conflict.digest()
                  + " is",
              "read the accepted configuration, make the change again on top of it, and name its"
                  + " revision",
              "header " + EXPECTED_REVISION));
    }
    return Mono.error(
        new ConflictException(
            "the request id was used before with another content",
            "use a new request id",
            "header " + REQUEST_ID));
  }

  private Mono<ConfigurationView> untilInForce(
      Revision revision, ContentDigest digest, String toml, long waitMillis) {
    Mono<ConfigurationView> once =
        Mono.fromSupplier(
            () -> {
              List<InstanceId> missing = membership.notInForce(revision);
              String state = missing.isEmpty() ? "in-force" : "accepted";
              return new ConfigurationView(revision, digest.value(), state, missing, toml);
            });
    if (waitMillis == 0) {
      return once;
    }
    return once.repeatWhen(rounds -> rounds.delayElements(CHECK_INTERVAL))
        .takeUntil(view -> view.notInForceIn().isEmpty())
        .take(Duration.ofMillis(waitMillis))
        .last();
  }

  private Mono<Void> history(HttpExchange exchange) {
    return registry
        .history(MAX_HISTORY)
        .flatMap(entries -> exchange.sendJson(OK, new HistoryDocument(entries)));
  }

  private record HistoryDocument(List<HistoryEntry> entries) {}

  // Failure domains

  private record DomainDocument(List<DomainView> domains) {}

  private Mono<Void> domains(HttpExchange exchange) {
    List<DomainView> views = new ArrayList<>();
    for (FailureDomainId domain : membership.domains()) {
      views.add(view(domain, orders.known(domain).orElse(null)));
    }
    return exchange.sendJson(OK, new DomainDocument(views));
  }

  private Mono<Void> switchDomain(HttpExchange exchange) throws PrimrosegaugeException {
    final FailureDomainId domain = FailureDomainId.parse(exchange.pathPart("id"), "path");
    final RequestId requestId = requestId(exchange);
    final long waitMillis = exchange.queryNumber("waitMillis", 0, MAX_WAIT_MILLIS);
    final String operator = exchange.header(OPERATOR, "operator");
    if (!membership.domains().contains(domain)) {
      throw new NotFoundException(
          "no failure domain " + domain, "use one of " + membership.domains(), "path");
    }
    return exchange
        .json(DomainOrder.class, MAX_ORDER_BYTES)
        .flatMap(order -> orders.take(requestId, toSwitch(domain, order), operator))
        .flatMap(order -> untilSwitched(order, waitMillis))
        .flatMap(view -> exchange.sendJson(OK, view));
  }

  private DomainSwitch toSwitch(FailureDomainId domain, DomainOrder order) {
    Revision revision =
        order.revision() != null
            ? order.revision()
            : orders.known(domain).map(DomainSwitch::revision).orElse(Revision.NONE).next();
    return new DomainSwitch(
        domain,
        order.out(),
        order.work() == null ? DomainSwitch.RunningWorkPolicy.FINISH : order.work(),
        revision);
  }

  private Mono<DomainView> untilSwitched(DomainSwitch order, long waitMillis) {
    Mono<DomainView> once = Mono.fromSupplier(() -> view(order.domain(), order));
    if (waitMillis == 0) {
      return once;
    }
    return once.repeatWhen(rounds -> rounds.delayElements(CHECK_INTERVAL))
        .takeUntil(view -> view.reason() == null)
        .take(Duration.ofMillis(waitMillis))
        .last();
  }

  private DomainView view(FailureDomainId domain, DomainSwitch order) {
    Optional<InstanceStatus> keeper =
        membership.keeperOf(domain).flatMap(membership::status).filter(InstanceStatus::isKeeper);
    Revision wanted = order == null ? Revision.NONE : order.revision();
    boolean acknowledged =
        keeper.map(known -> known.switchInForce().compareTo(wanted) >= 0).orElse(false);
    String reason = acknowledged ? null : reason(domain, keeper);
    return new DomainView(
        domain,
        order != null && order.out(),
        order == null ? DomainSwitch.RunningWorkPolicy.FINISH : order.work(),
        wanted,
        acknowledged ? "in-force" : "accepted",
        keeper.map(InstanceStatus::instance).orElse(null),
        reason);
  }

  private static String reason(FailureDomainId domain, Optional<InstanceStatus> keeper) {
    return keeper
        .map(known -> "keeper " + known.instance() + " has not acknowledged it yet")
        .orElse(
            "no keeper of "
                + domain
                + " is heard of here; send the order to an instance of that failure domain too");
  }

  // Instances

  private record InstanceDocument(List<InstanceView> instances) {}

  private Mono<Void> instances(HttpExchange exchange) {
    List<InstanceView> views = new ArrayList<>();
    for (FailureDomainId domain : membership.domains()) {
      for (InstanceId member : membership.membersOf(domain)) {
        Optional<InstanceStatus> heard = membership.status(member);
        views.add(
            new InstanceView(
                member,
                domain,
                voters.contains(member),
                heard.isPresent(),
                heard.map(InstanceStatus::inForce).orElse(null)));
      }
    }
    return exchange.sendJson(OK, new InstanceDocument(views));
  }

  // Headers

  private static RequestId requestId(HttpExchange exchange) throws InvalidInputException {
    String text = exchange.header(REQUEST_ID, null);
    return text == null
        ? new RequestId(UUID.randomUUID().toString())
        : RequestId.parse(text, "header " + REQUEST_ID);
  }

  private static Revision expectedRevision(HttpExchange exchange) throws PrimrosegaugeException {
    String text = exchange.header(EXPECTED_REVISION, null);
    if (text == null) {
      throw new InvalidInputException(
          "the revision that this change replaces is missing",
          "read the configuration and name its revision",
          "header " + EXPECTED_REVISION);
    }
    try {
      return new Revision(Long.parseLong(text));
    } catch (IllegalArgumentException e) {
      throw new PrimrosegaugeException(
          ErrorKind.INVALID_INPUT,
          "'" + text + "' is no revision",
          "use a whole number from 0",
          "header " + EXPECTED_REVISION,
          e);
    }
  }
}
