package org.primrosegauge.core.scope;

/**
 * Assignment of a run to a worker.
 *
 * @param run run of a task
 * @param worker worker incarnation
 * @since 0.2
 */
public record Placement(RunId run, WorkerKey worker) {}
