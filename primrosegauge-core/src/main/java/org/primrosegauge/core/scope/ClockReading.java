package org.primrosegauge.core.scope;

/**
 * The present, as the caller of a deciding function reads it.
 *
 * @param millis monotonic clock of this process, in milliseconds
 * @param wallMillis time of day, in milliseconds since 1970
 * @since 0.2
 */
public record ClockReading(long monotonicMillis, long wallMillis) {}
