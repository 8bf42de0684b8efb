package org.primrosegauge.standin.scope;

import java.util.List;

/**
 * What was seen while a load was played.
 *
 * @param jobs jobs that were handed in
 * @param over jobs that have ended
 * @param promised urgent jobs within guarantees, away from trouble
 * @param begunInTime how many of these began in time
 * @param longestHoleMillis longest time that a job waited although most was free and it fitted
 *     twice, in milliseconds
 * @param lapsedRuns runs that ended because a lease was not renewed
 * @param lostHeartbeats heartbeats that were not acknowledged in time
 * @param thread figures of the leader's thread
 * @param violations what was seen that must not happen
 * @since 0.3
 */
public record LoadedOutcome(
    int jobs,
    int over,
    int promised,
    int begunInTime,
    long longestHoleMillis,
    int lapsedRuns,
    int lostHeartbeats,
    ThreadFigures thread,
    List<String> violations) {}
