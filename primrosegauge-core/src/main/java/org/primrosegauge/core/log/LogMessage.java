package org.primrosegauge.core.log;

import java.util.List;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;

/**
 * Message between replicas. Each carries the sender's term and data folder.
 *
 * @since 0.1
 */
public sealed interface LogMessage {

  /**
   * Returns the sender's term; in a pre-vote, the term that it would start.
   *
   * @since 0.1
   */
  Term term();

  /**
   * Returns the sender's data folder.
   *
   * @since 0.1
   */
  StorageId storage();

  /**
   * Asks for a vote.
   *
   * @param term term of the candidate
   * @param storage data folder of the candidate
   * @param preVote whether it only asks if a vote would be given
   * @param lastIndex last position of the candidate's log
   * @param lastTerm term of the entry there
   * @since 0.1
   */
  record VoteRequest(
      Term term, StorageId storage, boolean preVote, LogIndex lastIndex, Term lastTerm)
      implements LogMessage {}

  /**
   * Answers a {@link VoteRequest}.
   *
   * @param term term of the request when granted, else the voter's own
   * @param storage data folder of the voter
   * @param preVote whether the request was a pre-vote
   * @param granted whether the vote is given
   * @since 0.1
   */
  record VoteReply(Term term, StorageId storage, boolean preVote, boolean granted)
      implements LogMessage {}

  /**
   * Replicates entries; without entries, a heartbeat.
   *
   * @param term term of the leader
   * @param storage data folder of the leader
   * @param previousIndex position before the first entry
   * @param previousTerm term of the entry there
   * @param committed last committed position
   * @param sentMillis leader's clock when it sent this, returned in the answer
   * @param entries entries that follow
   * @since 0.1
   */
  record AppendRequest(
      Term term,
      StorageId storage,
      LogIndex previousIndex,
      Term previousTerm,
      LogIndex committed,
      long sentMillis,
      List<LogEntry> entries)
      implements LogMessage {

    /** Copies the list. */
    public AppendRequest {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Answers an {@link AppendRequest} or a complete snapshot.
   *
   * @param term term of the follower
   * @param storage data folder of the follower
   * @param accepted whether the previous entry matched
   * @param index when accepted, the last position that is durable and equals the leader's; else the
   *     last position that may match
   * @param sentMillis copied from the request
   * @since 0.1
   */
  record AppendReply(
      Term term, StorageId storage, boolean accepted, LogIndex index, long sentMillis)
      implements LogMessage {}

  /**
   * Carries a part of a snapshot.
   *
   * @param term term of the leader
   * @param storage data folder of the leader
   * @param snapshot snapshot whose state holds only the bytes of this part
   * @param offset position of the part in the whole state, in bytes
   * @param totalBytes size of the whole state
   * @param sentMillis leader's clock when it sent this, returned in the answer
   * @since 0.1
   */
  record SnapshotChunk(
      Term term,
      StorageId storage,
      LogSnapshot snapshot,
      int offset,
      int totalBytes,
      long sentMillis)
      implements LogMessage {}

  /**
   * Asks for the next part of a snapshot.
   *
   * @param term term of the follower
   * @param storage data folder of the follower
   * @param index position of the snapshot
   * @param nextOffset first byte that is missing
   * @param sentMillis copied from the request
   * @since 0.1
   */
  record SnapshotReply(
      Term term, StorageId storage, LogIndex index, int nextOffset, long sentMillis)
      implements LogMessage {}

  /**
   * Says that the leader of a term leads no more, so that another may be elected at once.
   *
   * @param term term that it led
   * @param storage data folder of the former leader
   * @param successor instance that is to be a candidate at once, so that candidates do not meet
   * @since 0.3
   */
  record Release(Term term, StorageId storage, InstanceId successor) implements LogMessage {}
}
