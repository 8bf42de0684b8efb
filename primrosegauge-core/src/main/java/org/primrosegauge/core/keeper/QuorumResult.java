package org.primrosegauge.core.keeper;

/**
 * Answer of the quorum to an acquisition, renewal or acknowledgement.
 *
 * @param outcome what was decided
 * @param office the office after the decision
 * @since 0.1
 */
public record QuorumResult(Outcome outcome, KeeperOffice office) {

  /** What the quorum decided. */
  public enum Outcome {
    /** The request took effect. */
    GRANTED,
    /** The term named is no longer the last one. */
    STALE_TERM,
    /** The lease handed out last has not run out in log time. */
    LEASE_RUNNING,
    /** The instance is no member of every instance set that counts. */
    NOT_ELIGIBLE,
    /** No such instance set waits. */
    UNKNOWN_SET
  }

  /**
   * Tells whether the request took effect.
   *
   * @since 0.1
   */
  public boolean isGranted() {
    return outcome == Outcome.GRANTED;
  }
}
