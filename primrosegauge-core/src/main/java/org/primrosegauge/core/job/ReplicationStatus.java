package org.primrosegauge.core.job;

/**
 * How far a version of a job's record has been replicated.
 *
 * @param level highest level reached
 * @param peers number of peers in the domain that acknowledged it
 * @since 0.1
 */
public record ReplicationStatus(Level level, int peers) {

  /** Replication levels, from the most to the least durable. */
  public enum Level {
    /** Synced to storage by a quorum of the log. */
    SYNCED,
    /** In the memory of other instances of the domain. */
    PEERS,
    /** In the memory of this instance only. */
    ALONE
  }
}
