package org.primrosegauge.core.scope;

/**
 * Decision to run a task on a worker.
 *
 * @param run run
 * @param worker worker and lifetime
 * @since 0.2
 */
public record Placement(RunId run, WorkerKey worker) {}
