package org.primrosegauge.core.scope;

/**
 * End of a run.
 *
 * @param run run that ended
 * @param outcome how it ended
 * @param checkpoint checkpoint to resume from; empty for none
 * @since 0.2
 */
public record RunEnd(RunId run, RunOutcome outcome, String checkpoint) {}
