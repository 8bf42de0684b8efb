package org.primrosegauge.core.registry;

import java.util.Optional;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.RequestId;

/**
 * Claim of a service request that must run at most once. Instance and request together are the
 * holder: request ids are unique over all instances and their restarts.
 *
 * @param key digest of customer, service and idempotency key
 * @param request digest of the request's content
 * @param claimant instance that dispatches it
 * @param requestId request that holds the key
 * @param execution what became of the work; empty while it is not settled
 * @param expiryLogMillis log time when the claim is dropped
 * @since 0.1
 */
public record Claim(
    ContentDigest key,
    ContentDigest request,
    InstanceId claimant,
    RequestId requestId,
    Optional<ExecutionStatus> execution,
    long expiryLogMillis) {

  /**
   * Tells whether a request of an instance holds the key.
   *
   * @since 0.1
   */
  public boolean isHeldBy(InstanceId instance, RequestId id) {
    return claimant.equals(instance) && requestId.equals(id);
  }

  /**
   * Returns a copy with another outcome.
   *
   * @since 0.1
   */
  public Claim withExecution(ExecutionStatus value) {
    return new Claim(key, request, claimant, requestId, Optional.of(value), expiryLogMillis);
  }
}
