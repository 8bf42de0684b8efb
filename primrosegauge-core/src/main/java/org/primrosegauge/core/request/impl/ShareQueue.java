package org.primrosegauge.core.request.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.primrosegauge.core.CustomerId;

/**
 * Waiting requests of one service, shared out by weighted max-min fairness over the slots in use: a
 * free slot goes to the customer with the fewest slots in use per unit of weight. A customer below
 * its share of a full queue takes the place of one above its share.
 *
 * @since 0.1
 */
public final class ShareQueue {

  private static final Comparator<CustomerShare> NEXT =
      Comparator.comparingDouble(CustomerShare::usage).thenComparingLong(CustomerShare::lastServed);

  private final Map<CustomerId, CustomerShare> shares = new HashMap<>();
  private long served;

  /** Returns the share of a customer. */
  public CustomerShare share(CustomerId customer, int weight) {
    CustomerShare share = shares.computeIfAbsent(customer, id -> new CustomerShare(weight));
    share.changeWeight(weight);
    return share;
  }

  /** Returns how many requests wait. */
  public int waiting() {
    return shares.values().stream().mapToInt(CustomerShare::waiting).sum();
  }

  /** Tells whether a request waits that could be sent now. */
  public boolean hasReady() {
    return shares.values().stream().anyMatch(share -> !share.ready().isEmpty());
  }

  /** Returns the request that gets the next slot. */
  public Optional<ActiveRequest> next() {
    return shares.values().stream()
        .filter(share -> !share.ready().isEmpty())
        .min(NEXT)
        .map(share -> share.ready().first());
  }

  /**
   * Returns the request that has to make room for one of another customer in a full queue; empty
   * when that customer is the one that uses most.
   */
  public Optional<ActiveRequest> victimFor(CustomerShare arriving) {
    return shares.values().stream()
        .filter(share -> share.waiting() > 0 && share.pressure(0) > arriving.pressure(1))
        .max(Comparator.comparingDouble(share -> share.pressure(0)))
        .map(CustomerShare::newest);
  }

  /** Returns the part of the slots that a customer can count on now, between 0 and 1. */
  public double guaranteedPart(CustomerShare share) {
    double total = 0;
    for (CustomerShare other : shares.values()) {
      if (other == share || other.isActive()) {
        total += other.weight();
      }
    }
    return share.weight() / total;
  }

  /** Notes that an attempt of a customer was sent. */
  public void noteSent(CustomerShare share) {
    served++;
    share.noteSent(served);
  }

  /** Returns all requests that could be sent now. */
  public List<ActiveRequest> ready() {
    List<ActiveRequest> all = new ArrayList<>();
    shares.values().forEach(share -> all.addAll(share.ready()));
    return all;
  }
}
