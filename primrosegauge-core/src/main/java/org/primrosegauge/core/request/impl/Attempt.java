package org.primrosegauge.core.request.impl;

import org.primrosegauge.core.request.AttemptId;

/**
 * An attempt whose outcome was not reported yet. Exactly one of target and peer is set.
 *
 * @param request request
 * @param number number of the attempt
 * @param target executor, or null
 * @param peer peer instance, or null
 * @param sentMillis when it was sent, in milliseconds
 * @since 0.1
 */
public record Attempt(
    ActiveRequest request, int number, TargetState target, PeerState peer, long sentMillis) {

  /** Returns the id. */
  public AttemptId id() {
    return new AttemptId(request.description().id(), number);
  }
}
