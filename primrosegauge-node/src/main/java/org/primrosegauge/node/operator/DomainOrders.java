package org.primrosegauge.node.operator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.registry.RegistryCommand;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.site.DomainSwitch;
import org.primrosegauge.node.keeper.KeeperDuty;
import org.primrosegauge.node.log.RegistryService;
import org.primrosegauge.node.membership.Membership;
import org.primrosegauge.node.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * Operators' orders that take a failure domain out or in. The log decides; while it cannot be
 * reached, an instance of the domain itself takes the order, hands it to its keeper and to its
 * neighbours, and proposes it until the log has merged it.
 *
 * <p>Thread-safe: methods are synchronized and short.
 *
 * @since 0.1
 */
public final class DomainOrders {

  private static final Logger LOG = LoggerFactory.getLogger(DomainOrders.class);

  private final Membership membership;
  private final RegistryService registry;
  private final KeeperDuty keeper;
  private final PeerTransport transport;
  private final Map<RequestId, DomainMessage.LocalOrder> unmerged = new LinkedHashMap<>();
  private DomainSwitch latest;

  /**
   * Creates the orders of an instance.
   *
   * @since 0.1
   */
  public DomainOrders(
      Membership membership, RegistryService registry, KeeperDuty keeper, PeerTransport transport) {
    this.membership = membership;
    this.registry = registry;
    this.keeper = keeper;
    this.transport = transport;
    transport.onTell(DomainMessage.LocalOrder.class, (from, order) -> takeLocally(order));
    registry.onView(view -> view.switches().forEach(this::observed));
  }

  // Accessors

  /**
   * Returns the order known for a domain, merged or not.
   *
   * @since 0.1
   */
  public synchronized Optional<DomainSwitch> known(FailureDomainId domain) {
    Optional<DomainSwitch> logged =
        registry.view().switches().stream()
            .filter(order -> order.domain().equals(domain))
            .findFirst();
    boolean isOwn = domain.equals(membership.domain()) && latest != null;
    if (!isOwn) {
      return logged;
    }
    return Optional.of(logged.map(latest::merge).orElse(latest));
  }

  // Main API

  /**
   * Takes an order.
   *
   * @return the order that holds for the domain now
   * @since 0.1
   */
  public Mono<DomainSwitch> take(RequestId requestId, DomainSwitch order, String operator) {
    return registry
        .propose(new RegistryCommand.SwitchDomain(requestId, order, operator))
        .flatMap(DomainOrders::read)
        .doOnNext(this::observed)
        .onErrorResume(
            error -> {
              boolean own = order.domain().equals(membership.domain());
              if (!own || !isUnreachable(error)) {
                return Mono.error(error);
              }
              return Mono.fromCallable(
                  () -> spread(new DomainMessage.LocalOrder(requestId, order, operator)));
            });
  }

  /**
   * Proposes what the log has not merged yet.
   *
   * @since 0.1
   */
  public void tick() {
    for (DomainMessage.LocalOrder local : pending()) {
      registry
          .propose(
              new RegistryCommand.SwitchDomain(local.requestId(), local.order(), local.operator()))
          .subscribe(
              result -> merged(local.requestId()),
              error -> LOG.debug("order {} is not merged yet", local, error));
    }
  }

  // Internals

  private synchronized List<DomainMessage.LocalOrder> pending() {
    return List.copyOf(unmerged.values());
  }

  private synchronized void merged(RequestId requestId) {
    unmerged.remove(requestId);
  }

  private DomainSwitch spread(DomainMessage.LocalOrder local) {
    takeLocally(local);
    for (InstanceId neighbour : membership.membersOf(membership.domain())) {
      if (!neighbour.equals(membership.self())) {
        transport.tell(neighbour, local);
      }
    }
    return known(local.order().domain()).orElseThrow();
  }

  private void takeLocally(DomainMessage.LocalOrder local) {
    if (!local.order().domain().equals(membership.domain())) {
      return;
    }
    synchronized (this) {
      unmerged.put(local.requestId(), local);
    }
    observed(local.order());
  }

  private synchronized void observed(DomainSwitch order) {
    if (!order.domain().equals(membership.domain())) {
      return;
    }
    DomainSwitch merged = latest == null ? order : latest.merge(order);
    if (!merged.equals(latest)) {
      latest = merged;
      keeper.switched(merged);
    }
  }

  private static Mono<DomainSwitch> read(RegistryResult result) {
    if (result instanceof RegistryResult.DomainSwitched switched) {
      return Mono.just(switched.inForce());
    }
    return Mono.error(
        new PrimrosegaugeException(
            ErrorKind.CONFLICT,
            "the request id was used before with another content",
            "use a new request id",
            "header Primrosegauge-Request-Id"));
  }

  private static boolean isUnreachable(Throwable error) {
    return error instanceof PrimrosegaugeException known
        && (known.kind() == ErrorKind.UNAVAILABLE || known.kind() == ErrorKind.OUTCOME_UNKNOWN);
  }
}
