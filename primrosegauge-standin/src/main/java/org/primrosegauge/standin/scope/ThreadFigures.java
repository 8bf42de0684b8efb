package org.primrosegauge.standin.scope;

import java.util.Map;

/**
 * What was seen of a leader's thread in virtual time.
 *
 * @param handled events that were handled, by kind
 * @param late events that waited longer than their senders do, by kind
 * @param longestWaitMillis longest time that an event has waited, in milliseconds
 * @param longestEventMicros longest time that an event has taken, in microseconds
 * @param busyMillis time that all events have taken, in milliseconds
 * @param examined workers, runs, jobs and tasks that all events have looked at
 * @since 0.3
 */
public record ThreadFigures(
    Map<EventKind, Integer> handled,
    Map<EventKind, Integer> late,
    long longestWaitMillis,
    long longestEventMicros,
    long busyMillis,
    long examined) {}
