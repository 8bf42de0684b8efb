package org.primrosegauge.core.scope;

/**
 * Current time, as read by the caller of the scheduler.
 *
 * @param monotonicMillis monotonic clock of this process, in milliseconds
 * @param wallMillis wall-clock time, in milliseconds since 1970
 * @since 0.2
 */
public record ClockReading(long monotonicMillis, long wallMillis) {}
