package org.primrosegauge.core.job;

/**
 * How a version of a job's record is held.
 *
 * @param kind where it is held
 * @param peers number of domain peers that have it
 * @since 0.1
 */
public record ReplicationStatus(Level level, int peers) {

  /** Where a record is held, from best to worst. */
  public enum Level {
    /** Synced by a quorum of the log. */
    SYNCED,
    /** In the memory of other instances of the domain. */
    PEERS,
    /** In the memory of this instance only. */
    ALONE
  }
}
