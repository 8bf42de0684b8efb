package org.primrosegauge.core.request;

import org.primrosegauge.core.registry.ContentDigest;

/**
 * Claim that a request with an idempotency key is the one that may run under this key. Keys of
 * callers enter the replicated log only as digests.
 *
 * @param key digest of customer, service and the caller's key
 * @param request digest of what the caller asks for; the same key with another digest is a conflict
 * @since 0.1
 */
public record IdempotencyClaim(ContentDigest key, ContentDigest request) {}
