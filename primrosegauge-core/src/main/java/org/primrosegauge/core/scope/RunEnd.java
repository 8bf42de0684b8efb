package org.primrosegauge.core.scope;

/**
 * The end of a run.
 *
 * @param run run
 * @param outcome how it ended
 * @param checkpoint state to resume from; empty when there is none
 * @since 0.2
 */
public record RunEnd(RunId run, RunOutcome outcome, String checkpoint) {}
