package org.primrosegauge.core.request;

import java.util.Optional;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.ServiceId;

/**
 * What the router needs to know of a request. The body stays with the adapter.
 *
 * @param id unique over all instances and their restarts
 * @param customer customer who sent it
 * @param service service that answers it
 * @param deadlineMillis time after which the caller does not wait any more, on the clock of {@code
 *     nowMillis}
 * @param repeatable whether the work may run more than once
 * @param claim idempotency key of a request that must not be repeated; empty when it has none
 * @param forwarded whether a peer sent it; the peer has made the claim and does the retries
 * @param bodyBytes size of the body, in bytes
 * @since 0.1
 */
public record RequestDescription(
    RequestId id,
    CustomerId customer,
    ServiceId service,
    long deadlineMillis,
    boolean repeatable,
    Optional<IdempotencyClaim> claim,
    boolean forwarded,
    long bodyBytes) {

  /**
   * Tells whether the key must be claimed before the first dispatch.
   *
   * @since 0.1
   */
  public boolean needsClaim() {
    return !repeatable && !forwarded && claim.isPresent();
  }
}
