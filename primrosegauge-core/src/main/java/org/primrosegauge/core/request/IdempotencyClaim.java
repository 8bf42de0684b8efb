package org.primrosegauge.core.request;

/**
 * Claim that a request with an idempotency key is the one that may run under this key.
 *
 * @param key digest of customer, service and the caller's key
 * @param request digest of what the caller asks for; the same key with another digest is a conflict
 * @since 0.1
 */
public record IdempotencyClaim(ContentDigest key, ContentDigest request) {}
