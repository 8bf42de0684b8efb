package org.primrosegauge.core.scope.impl;

import java.util.List;
import java.util.Set;
import org.primrosegauge.core.scope.RunId;

/**
 * Capacity that is being freed for a step by preempting other runs.
 *
 * @param demand step that the capacity is for
 * @param workers one worker for each task of the demand, in the order of its tasks
 * @param victims runs that have to end first
 * @param cost unsaved work of the victims, in core-seconds, plus the surcharges for restarts,
 *     priority and locality
 * @param isLocal whether the workers satisfy the locality preference of the step
 * @param untilMillis monotonic time at which the reservation expires, in milliseconds
 */
record Reservation(
    Demand demand,
    List<WorkerSession> workers,
    Set<RunId> victims,
    double cost,
    boolean isLocal,
    long untilMillis) {}
