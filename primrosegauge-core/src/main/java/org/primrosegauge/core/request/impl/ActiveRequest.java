package org.primrosegauge.core.request.impl;

import java.util.HashSet;
import java.util.Set;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.request.RequestDescription;

/**
 * A request that has no final answer yet.
 *
 * <p>Owned by the router's thread. It lives from its receipt to its final answer.
 *
 * @since 0.1
 */
public final class ActiveRequest {

  private final RequestDescription description;
  private final long order;
  private final ServicePool pool;
  private final CustomerShare share;
  private final Set<TargetId> tried = new HashSet<>();

  private RequestState state = RequestState.RECEIVED;
  private long wakeMillis;
  private boolean claimed;
  private boolean mayHaveBegun;
  private boolean backingOff;
  private int attempts;
  private int tries;
  private int declinedForwards;
  private Attempt current;

  /**
   * Creates a request.
   *
   * @param description what the caller asks for
   * @param order position among all requests of this instance
   * @param pool targets of its service
   * @param share its customer's part of the pool
   * @since 0.1
   */
  public ActiveRequest(
      RequestDescription description, long order, ServicePool pool, CustomerShare share) {
    this.description = description;
    this.order = order;
    this.pool = pool;
    this.share = share;
  }

  /** Returns what the caller asks for. */
  public RequestDescription description() {
    return description;
  }

  /** Returns the position among all requests of this instance. */
  public long order() {
    return order;
  }

  /** Returns the targets of its service. */
  public ServicePool pool() {
    return pool;
  }

  /** Returns its customer's part of the pool. */
  public CustomerShare share() {
    return share;
  }

  /** Returns the targets that it was sent to. */
  public Set<TargetId> tried() {
    return tried;
  }

  /** Returns the state. */
  public RequestState state() {
    return state;
  }

  /**
   * Moves to a later state, or stays.
   *
   * @throws IllegalStateException when the state would move back
   */
  public void moveTo(RequestState next) {
    if (next.compareTo(state) < 0) {
      throw new IllegalStateException(
          description.id() + " cannot go from " + state + " to " + next);
    }
    state = next;
  }

  /** Returns when the request needs attention, in milliseconds. */
  public long wakeMillis() {
    return wakeMillis;
  }

  /** Sets when the request needs attention. Not while it is in a set ordered by this time. */
  public void wakeAt(long millis) {
    wakeMillis = millis;
  }

  /** Tells whether it holds its idempotency key. */
  public boolean claimed() {
    return claimed;
  }

  /** Notes that it holds its idempotency key. */
  public void markClaimed() {
    claimed = true;
  }

  /** Tells whether a target may have begun the work in an attempt that ended. */
  public boolean mayHaveBegun() {
    return mayHaveBegun;
  }

  /** Notes that a target may have begun the work. */
  public void markBegun() {
    mayHaveBegun = true;
  }

  /** Tells whether it waits for the time of its next attempt. */
  public boolean backingOff() {
    return backingOff;
  }

  /** Notes whether it waits for the time of its next attempt. */
  public void backingOff(boolean value) {
    backingOff = value;
  }

  /** Returns the number of attempts that reached or tried to reach a target. */
  public int tries() {
    return tries;
  }

  /** Returns how many forwards peers declined. */
  public int declinedForwards() {
    return declinedForwards;
  }

  /** Returns the open attempt, or null. */
  public Attempt current() {
    return current;
  }

  /** Opens the next attempt at a target or a peer; exactly one of them is given. */
  public Attempt open(TargetState target, PeerState peer, long nowMillis) {
    attempts++;
    tries++;
    current = new Attempt(this, attempts, target, peer, nowMillis);
    if (target != null) {
      tried.add(target.id());
    }
    moveTo(RequestState.DISPATCHED);
    return current;
  }

  /** Closes the open attempt. */
  public void closeAttempt() {
    current = null;
  }

  /** Takes back a try that a peer declined, since it reached no target. */
  public void forgetDeclinedForward() {
    tries--;
    declinedForwards++;
  }
}
