package org.primrosegauge.node.scope;

import java.util.HashMap;
import java.util.Map;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.Term;

/**
 * Sequence numbers of the operators' orders for failure domains, in the order in which the leader
 * accepted them. They serve as versions for optimistic concurrency control.
 *
 * <p>An instance that forwards an order requests the current sequence number first. An order that
 * is delayed in transit, by a suspended instance or a network partition, carries an outdated number
 * and is refused if it would undo a newer order.
 *
 * <p>Used on the log thread of the leader; cleared when the leader changes.
 */
final class DomainOrderSequence {

  private record LastOrder(long number, boolean isOut) {}

  private final Map<FailureDomainId, LastOrder> lastByDomain = new HashMap<>();

  /** Returns the sequence number after all orders for a domain so far. */
  ScopeMessage.OrderPlace current(FailureDomainId domain, Term term) {
    LastOrder last = lastByDomain.get(domain);
    return new ScopeMessage.OrderPlace(term, last == null ? 0 : last.number());
  }

  /**
   * Returns whether an order would undo one that was accepted after its sequence number was issued.
   *
   * @param isOutNow whether the domain is out of service according to the ledger
   */
  boolean isSuperseded(ScopeMessage.SwitchDomain order, Term term, boolean isOutNow) {
    if (order.place() == null || order.place().equals(current(order.domain(), term))) {
      return false;
    }
    LastOrder last = lastByDomain.get(order.domain());
    boolean isOut = last == null ? isOutNow : last.isOut();
    return order.isOut() != isOut;
  }

  /** Records that an order was accepted. */
  void accepted(ScopeMessage.SwitchDomain order) {
    lastByDomain.merge(
        order.domain(),
        new LastOrder(1, order.isOut()),
        (last, first) -> new LastOrder(last.number() + 1, order.isOut()));
  }

  /** Removes all orders; called when another term begins. */
  void clear() {
    lastByDomain.clear();
  }
}
