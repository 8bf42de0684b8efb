package org.primrosegauge.core.scope;

/**
 * End of a run.
 *
 * @param run run that ended
 * @param outcome how it ended
 * @param checkpoint checkpoint to resume from; empty for none
 * @param observedMillis how long the run took if it ran undisturbed from the start of its task to
 *     the end, in milliseconds; 0 if it did not, or if that is not known
 * @since 0.2
 */
public record RunEnd(RunId run, RunOutcome outcome, String checkpoint, long observedMillis) {

  /**
   * Creates the end of a run that was not observed.
   *
   * @since 0.4
   */
  public RunEnd(RunId run, RunOutcome outcome, String checkpoint) {
    this(run, outcome, checkpoint, 0);
  }

  /**
   * Returns a copy with another observed run time, in milliseconds.
   *
   * @since 0.4
   */
  public RunEnd withObservedMillis(long millis) {
    return new RunEnd(run, outcome, checkpoint, millis);
  }
}
