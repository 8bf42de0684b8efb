package org.primrosegauge.core.request.impl;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Requests of one customer for one service: what waits and how much is in flight.
 *
 * @since 0.1
 */
public final class CustomerShare {

  private static final Comparator<ActiveRequest> BY_ARRIVAL =
      Comparator.comparingLong(ActiveRequest::order);

  private final TreeSet<ActiveRequest> ready = new TreeSet<>(BY_ARRIVAL);
  private final TreeSet<ActiveRequest> claiming = new TreeSet<>(BY_ARRIVAL);
  private int weight;
  private int inFlight;
  private long lastServed;

  /** Creates a share without requests. */
  public CustomerShare(int weight) {
    changeWeight(weight);
  }

  /** Changes the weight. */
  public final void changeWeight(int value) {
    weight = Math.max(1, value);
  }

  /** Returns the weight, at least 1. */
  public int weight() {
    return weight;
  }

  /** Returns the requests that could be sent now, in order of arrival. */
  public TreeSet<ActiveRequest> ready() {
    return ready;
  }

  /** Returns the requests that wait for the claim store, in order of arrival. */
  public TreeSet<ActiveRequest> claiming() {
    return claiming;
  }

  /** Returns how many requests wait. */
  public int waiting() {
    return ready.size() + claiming.size();
  }

  /** Returns how many attempts are in flight. */
  public int inFlight() {
    return inFlight;
  }

  /** Tells whether anything waits or is in flight. */
  public boolean isActive() {
    return waiting() > 0 || inFlight > 0;
  }

  /** Returns when an attempt was last sent, as a number that grows with each. */
  public long lastServed() {
    return lastServed;
  }

  /** Notes an attempt. */
  public void noteSent(long serial) {
    inFlight++;
    lastServed = serial;
  }

  /** Notes the outcome of an attempt. */
  public void noteEnded() {
    inFlight--;
  }

  /** Returns the slots in use per unit of weight. */
  public double usage() {
    return (double) inFlight / weight;
  }

  /** Returns the queue places in use per unit of weight, with some more added. */
  public double pressure(int more) {
    return (double) (waiting() + more) / weight;
  }

  /** Returns the request that came last. */
  public ActiveRequest newest() {
    return ready.isEmpty() ? claiming.last() : ready.last();
  }
}
