package org.primrosegauge.core.scope.impl;

import java.util.List;
import java.util.Set;
import org.primrosegauge.core.scope.RunId;

/**
 * Room that is being made for a step by stopping other runs.
 *
 * @param demand step that the room is for
 * @param workers a worker for each task of the demand, in its order
 * @param victims runs that have to end first
 * @param cost unsaved work of the victims, in core-seconds, and what their priority adds
 * @param isNear whether the room is near to the data, or on one rack, as the step would have it
 * @param untilMillis time after which the room is given up
 */
record Reservation(
    Demand demand,
    List<WorkerSession> workers,
    Set<RunId> victims,
    double cost,
    boolean isLocal,
    long untilMillis) {}
