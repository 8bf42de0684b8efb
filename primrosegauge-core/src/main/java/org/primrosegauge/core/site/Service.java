package org.primrosegauge.core.site;

import org.primrosegauge.core.ServiceId;

/**
 * A service whose requests executors answer.
 *
 * @param id id of the service
 * @param maxBodyBytes largest request or answer body, in bytes
 * @param timeoutMillis time-out of a request whose caller states no deadline, in milliseconds
 * @param maxQueued most requests that wait for a slot in one instance
 * @param retryPercent retries allowed per 100 first tries
 * @since 0.1
 */
public record Service(
    ServiceId id, int maxBodyBytes, long timeoutMillis, int maxQueued, int retryPercent) {}
