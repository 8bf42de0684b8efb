package org.primrosegauge.core.log;

import java.util.List;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;

/**
 * What the caller of a {@link LogReplica} has to do, in the order given.
 *
 * @since 0.1
 */
public sealed interface LogAction {

  /**
   * A write to the journal. The caller reports its number with {@link LogReplica#synced} once it is
   * durable; writes become durable in their order.
   *
   * @since 0.1
   */
  sealed interface Persist extends LogAction {

    /**
     * Returns the number of the write, counted from 1 since the replica started.
     *
     * @since 0.1
     */
    long writeNumber();
  }

  /**
   * Sends a message. It may be lost, repeated or overtaken.
   *
   * @param to receiver
   * @param message message
   * @since 0.1
   */
  record Send(InstanceId to, LogMessage message) implements LogAction {}

  /**
   * Writes term and vote.
   *
   * @param write number of the write
   * @param hardState term and vote
   * @since 0.1
   */
  record PersistHardState(long writeNumber, HardState hardState) implements Persist {}

  /**
   * Writes entries. The first replaces an entry at its position and all behind it.
   *
   * @param write number of the write
   * @param entries at least one entry, without gaps
   * @since 0.1
   */
  record PersistEntries(long writeNumber, List<LogEntry> entries) implements Persist {}

  /**
   * Writes a snapshot, which replaces the entries up to its position.
   *
   * @param write number of the write
   * @param snapshot snapshot
   * @param keepsLaterEntries whether the entries behind the position stay
   * @since 0.1
   */
  record PersistSnapshot(long writeNumber, LogSnapshot snapshot, boolean keepLaterEntries)
      implements Persist {}

  /**
   * Applies committed entries.
   *
   * @param entries entries that follow the last ones applied, without gaps
   * @since 0.1
   */
  record Commit(List<LogEntry> entries) implements LogAction {}

  /**
   * Replaces the state of the state machine.
   *
   * @param snapshot new state
   * @since 0.1
   */
  record InstallSnapshot(LogSnapshot snapshot) implements LogAction {}

  /**
   * Tells that the leader known to this replica changed.
   *
   * @param leader new leader; null while none is known
   * @param term its term
   * @since 0.1
   */
  record LeaderChanged(InstanceId leader, Term term) implements LogAction {}

  /**
   * Tells that a proposal was added to the log. It succeeded once {@link Commit} brings an entry
   * with this position and term, and failed when that position brings another term.
   *
   * @param first position of its first entry
   * @param count number of entries
   * @param term term of the entries
   * @since 0.1
   */
  record ProposalAccepted(LogIndex first, int count, Term term) implements LogAction {}

  /**
   * Tells that a proposal was refused and changed nothing.
   *
   * @param reason why
   * @param leader whom to ask instead; null while no leader is known
   * @since 0.1
   */
  record ProposalRefused(Reason reason, InstanceId leader) implements LogAction {

    /** Why a proposal is refused. */
    public enum Reason {
      /** This replica does not lead. */
      NOT_LEADER,
      /** Too many bytes are not committed yet. */
      OVERLOADED,
      /** An earlier membership change is not committed yet. */
      CHANGE_IN_PROGRESS,
      /** The learner has not caught up. */
      NOT_CAUGHT_UP,
      /** After the change, fewer voters than a quorum would answer and hold what is committed. */
      QUORUM_AT_RISK,
      /** The change names an unknown member, leaves no voter or exceeds the number of voters. */
      INVALID_CHANGE
    }
  }
}
