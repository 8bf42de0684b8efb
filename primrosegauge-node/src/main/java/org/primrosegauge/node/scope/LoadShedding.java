package org.primrosegauge.node.scope;

import org.primrosegauge.node.duty.Duty;
import org.primrosegauge.node.scope.ScopeMessage.Question;

/**
 * Prioritizes the requests on the leader's thread, and decides when a request has waited so long
 * that it is refused instead of being executed.
 *
 * <p>This protects an overloaded leader. Workers' heartbeats and operators' orders are few, keep
 * the leader's state current, and are handled whatever their age: a worker whose heartbeat is
 * dropped counts as unresponsive and is given no new work. Requests for the leader's identity are
 * cheap, and without a response to them all instances would search for another leader at the same
 * time. Calls of callers have a lower priority than these, and reads of job states the lowest.
 *
 * <p>Stateless.
 */
final class LoadShedding {

  /**
   * Longest wait of a caller's write or read before it is executed, in milliseconds. Callers allow
   * three seconds for all their attempts, and need part of that to retry after a refusal.
   */
  static final long MAX_WAIT_MILLIS = 1_500;

  /** Delay after which a caller whose request was shed may retry, in milliseconds. */
  static final long RETRY_AFTER_MILLIS = 1_000;

  /** Why a request was shed. Each reason has a counter. */
  enum ShedReason {
    /** A write waited too long; nothing was proposed to the log. */
    STALE_CALL,
    /** A read waited too long. */
    STALE_READ,
    /** The queue of the log thread was full. */
    NO_ROOM
  }

  private LoadShedding() {}

  /** Returns the priority of a request on the leader's thread. */
  static Duty.Rank rankOf(Question request) {
    if (request instanceof ScopeMessage.AskState) {
      return Duty.Rank.READ;
    }
    boolean isCall =
        request instanceof ScopeMessage.Submit || request instanceof ScopeMessage.Cancel;
    return isCall ? Duty.Rank.CALL : Duty.Rank.USUAL;
  }

  /** Returns whether a request has waited so long that its sender has timed out or is about to. */
  static boolean isStale(Question request, long waitedMillis) {
    return rankOf(request) != Duty.Rank.USUAL && waitedMillis > MAX_WAIT_MILLIS;
  }
}
