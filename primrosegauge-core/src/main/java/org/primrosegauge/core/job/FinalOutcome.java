package org.primrosegauge.core.job;

/**
 * Final outcome of a job. A job has exactly one.
 *
 * @param phase final phase
 * @param detail human-readable reason; empty on success
 * @since 0.1
 */
public record FinalOutcome(JobPhase phase, String detail) {

  /** Checks that the phase is final. */
  public FinalOutcome {
    if (!phase.isFinal()) {
      throw new IllegalArgumentException(phase + " is not a final phase");
    }
  }
}
