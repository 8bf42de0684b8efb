package org.primrosegauge.core.job;

/**
 * The one answer to a job.
 *
 * @param phase final phase
 * @param detail reason in words; empty for success
 * @since 0.1
 */
public record FinalOutcome(JobPhase phase, String detail) {

  /** Checks that the phase is final. */
  public FinalOutcome {
    if (!phase.isFinal()) {
      throw new IllegalArgumentException(phase + " is not final");
    }
  }
}
