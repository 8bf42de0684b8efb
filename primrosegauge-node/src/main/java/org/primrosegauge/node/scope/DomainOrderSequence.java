package org.primrosegauge.node.scope;

import java.util.HashMap;
import java.util.Map;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.Term;

/**
 * Places of the orders about failure domains in the sequence that the leader took them in.
 *
 * <p>Whoever passes an order on asks for the present place first. An order that was held up on its
 * way, by a suspended instance or a cut link, comes with an old place, and is refused if it would
 * undo a newer one.
 *
 * <p>Used on the log thread while it leads; forgotten when the leader changes.
 */
final class DomainOrderSequence {

  private record LastOrder(long number, boolean isOut) {}

  private final Map<FailureDomainId, LastOrder> lastByDomain = new HashMap<>();

  /** Returns the place after all orders about a domain so far. */
  ScopeMessage.OrderPlace current(FailureDomainId domain, Term term) {
    LastOrder last = lastByDomain.get(domain);
    return new ScopeMessage.OrderPlace(term, last == null ? 0 : last.number());
  }

  /**
   * Tells whether an order would undo one that was taken after its place.
   *
   * @param isOutNow whether the domain is out by the ledger
   */
  boolean isSuperseded(ScopeMessage.SwitchDomain order, Term term, boolean isOutNow) {
    if (order.place() == null || order.place().equals(current(order.domain(), term))) {
      return false;
    }
    LastOrder last = lastByDomain.get(order.domain());
    boolean isOut = last == null ? isOutNow : last.isOut();
    return order.isOut() != isOut;
  }

  /** Notes that an order was taken. */
  void accepted(ScopeMessage.SwitchDomain order) {
    lastByDomain.merge(
        order.domain(),
        new LastOrder(1, order.isOut()),
        (last, first) -> new LastOrder(last.number() + 1, order.isOut()));
  }

  /** Forgets all, as another term begins. */
  void clear() {
    lastByDomain.clear();
  }
}
