package org.primrosegauge.core.registry;

import org.primrosegauge.core.InstanceId;

/**
 * Claim of a service request that must run at most once.
 *
 * @param key digest of customer, service and idempotency key
 * @param request digest of the request's content
 * @param claimant instance that dispatches it
 * @param expiryLogMillis log time when the claim is dropped
 * @since 0.1
 */
public record Claim(
    ContentDigest key, ContentDigest request, InstanceId claimant, long expiryLogMillis) {}
