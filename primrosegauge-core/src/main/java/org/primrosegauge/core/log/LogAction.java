package org.primrosegauge.core.log;

import java.util.List;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;

/**
 * Action that the caller of a {@link LogReplica} must perform. Actions must be performed in the
 * order in which they were returned.
 *
 * @since 0.1
 */
public sealed interface LogAction {

  /**
   * Write to the journal. The caller passes the write number to {@link LogReplica#synced} once the
   * write is durable. Writes become durable in the order of their numbers.
   *
   * @since 0.1
   */
  sealed interface Persist extends LogAction {

    /**
     * Returns the sequence number of the write. The first write after the start of the replica has
     * number 1.
     *
     * @since 0.1
     */
    long writeNumber();
  }

  /**
   * Sends a message. The message may be lost, duplicated or reordered.
   *
   * @param to receiver
   * @param message message
   * @since 0.1
   */
  record Send(InstanceId to, LogMessage message) implements LogAction {}

  /**
   * Writes the term and the vote.
   *
   * @param writeNumber number of the write
   * @param hardState term and vote
   * @since 0.1
   */
  record PersistHardState(long writeNumber, HardState hardState) implements Persist {}

  /**
   * Writes entries. An existing entry at the index of the first one is replaced, and all entries
   * after it are removed.
   *
   * @param writeNumber number of the write
   * @param entries at least one entry, with consecutive indices
   * @since 0.1
   */
  record PersistEntries(long writeNumber, List<LogEntry> entries) implements Persist {}

  /**
   * Writes a snapshot, which replaces the entries up to its index.
   *
   * @param writeNumber number of the write
   * @param snapshot snapshot
   * @param keepLaterEntries whether the entries after that index are kept
   * @since 0.1
   */
  record PersistSnapshot(long writeNumber, LogSnapshot snapshot, boolean keepLaterEntries)
      implements Persist {}

  /**
   * Applies committed entries.
   *
   * @param entries entries with consecutive indices that follow the last entry applied
   * @since 0.1
   */
  record Commit(List<LogEntry> entries) implements LogAction {}

  /**
   * Replaces the state of the state machine.
   *
   * @param snapshot snapshot that holds the new state
   * @since 0.1
   */
  record InstallSnapshot(LogSnapshot snapshot) implements LogAction {}

  /**
   * Reports that the leader known to this replica changed.
   *
   * @param leader new leader; null if none is known
   * @param term current term
   * @since 0.1
   */
  record LeaderChanged(InstanceId leader, Term term) implements LogAction {}

  /**
   * Reports that a proposal was appended to the log. The proposal has succeeded once {@link Commit}
   * contains an entry with this index and term. It has failed if the entry committed at this index
   * has another term.
   *
   * @param first index of its first entry
   * @param count number of entries
   * @param term term of the entries
   * @since 0.1
   */
  record ProposalAccepted(LogIndex first, int count, Term term) implements LogAction {}

  /**
   * Reports that a proposal was rejected and had no effect.
   *
   * @param reason reason of the rejection
   * @param leader leader to send the proposal to instead; null if none is known
   * @since 0.1
   */
  record ProposalRefused(Reason reason, InstanceId leader) implements LogAction {

    /** Reason for rejecting a proposal. */
    public enum Reason {
      /** This replica is not the leader. */
      NOT_LEADER,
      /** The size of the uncommitted entries has reached its limit. */
      OVERLOADED,
      /** A command is larger than {@link LogEntry#MAX_COMMAND_BYTES}. */
      TOO_LARGE,
      /** An earlier membership change, or the first entry of the term, is not committed yet. */
      CHANGE_IN_PROGRESS,
      /** The learner has not caught up. */
      NOT_CAUGHT_UP,
      /**
       * After the change, fewer voters than a quorum would be responsive and hold all committed
       * entries.
       */
      QUORUM_AT_RISK,
      /** The change names an unknown member, leaves no voter or exceeds the number of voters. */
      INVALID_CHANGE
    }
  }
}
