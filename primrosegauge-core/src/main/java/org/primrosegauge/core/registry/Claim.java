package org.primrosegauge.core.registry;

import java.util.Optional;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.RequestId;

/**
 * Claim of an idempotency key by a service request that must run at most once. The holder is
 * identified by instance and request id; request ids are unique across all instances and their
 * restarts.
 *
 * @param key digest of customer, service and idempotency key
 * @param request digest of the request content
 * @param claimant instance that dispatches the request
 * @param requestId id of the request that holds the key
 * @param execution whether the work ran; empty until the claim is settled
 * @param expiryLogMillis log time when the claim expires, in milliseconds
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
   * Tells whether the given request of the given instance holds the key.
   *
   * @since 0.1
   */
  public boolean isHeldBy(InstanceId instance, RequestId id) {
    return claimant.equals(instance) && requestId.equals(id);
  }

  /**
   * Returns a copy with the given execution outcome.
   *
   * @since 0.1
   */
  public Claim withExecution(ExecutionStatus value) {
    return new Claim(key, request, claimant, requestId, Optional.of(value), expiryLogMillis);
  }
}
