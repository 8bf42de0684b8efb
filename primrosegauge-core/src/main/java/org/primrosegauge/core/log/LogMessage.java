package org.primrosegauge.core.log;

import java.util.List;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;

/**
 * Message between replicas. Each message carries the term of the sender and the id of its data
 * folder.
 *
 * @since 0.1
 */
public sealed interface LogMessage {

  /**
   * Returns the term of the sender; in a pre-vote request, the term that the sender would start.
   *
   * @since 0.1
   */
  Term term();

  /**
   * Returns the id of the sender's data folder.
   *
   * @since 0.1
   */
  StorageId storage();

  /**
   * Requests a vote.
   *
   * @param term term of the candidate
   * @param storage data folder of the candidate
   * @param preVote whether this is a pre-vote, which asks whether the vote would be granted
   * @param lastIndex last index of the candidate's log
   * @param lastTerm term of the entry at that index
   * @since 0.1
   */
  record VoteRequest(
      Term term, StorageId storage, boolean preVote, LogIndex lastIndex, Term lastTerm)
      implements LogMessage {}

  /**
   * Reply to a {@link VoteRequest}.
   *
   * @param term term of the request if the vote is granted, otherwise the current term of the voter
   * @param storage data folder of the voter
   * @param preVote whether the request was a pre-vote
   * @param granted whether the vote is granted
   * @since 0.1
   */
  record VoteReply(Term term, StorageId storage, boolean preVote, boolean granted)
      implements LogMessage {}

  /**
   * Replicates entries. Without entries, it serves as a heartbeat.
   *
   * @param term term of the leader
   * @param storage data folder of the leader
   * @param previousIndex index before the first entry
   * @param previousTerm term of the entry at that index
   * @param committed last committed index
   * @param sentMillis time on the leader's clock when the message was sent, in milliseconds; the
   *     reply repeats it
   * @param entries entries after {@code previousIndex}
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

    /** Copies the list of entries. */
    public AppendRequest {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Reply to an {@link AppendRequest} or to the last chunk of a snapshot.
   *
   * @param term term of the follower
   * @param storage data folder of the follower
   * @param accepted whether the entry at {@code previousIndex} matched
   * @param index if accepted, the last index up to which the log is durable and matches the
   *     leader's log; otherwise the last index that may match
   * @param sentMillis {@code sentMillis} of the request
   * @since 0.1
   */
  record AppendReply(
      Term term, StorageId storage, boolean accepted, LogIndex index, long sentMillis)
      implements LogMessage {}

  /**
   * Carries a chunk of a snapshot.
   *
   * @param term term of the leader
   * @param storage data folder of the leader
   * @param snapshot snapshot whose state holds only the bytes of this chunk
   * @param offset offset of the chunk in the whole state, in bytes
   * @param totalBytes size of the whole state, in bytes
   * @param sentMillis time on the leader's clock when the message was sent, in milliseconds; the
   *     reply repeats it
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
   * Requests the next chunk of a snapshot.
   *
   * @param term term of the follower
   * @param storage data folder of the follower
   * @param index index of the snapshot
   * @param nextOffset offset of the first missing byte
   * @param sentMillis {@code sentMillis} of the request
   * @since 0.1
   */
  record SnapshotReply(
      Term term, StorageId storage, LogIndex index, int nextOffset, long sentMillis)
      implements LogMessage {}

  /**
   * Announces that the leader of a term leads no more, because it has stepped down or restarted, so
   * that a successor can be elected without waiting until its lease would have expired. No other
   * lease can be valid in that term: each replica that voted for this leader had waited for all
   * earlier ones, and a quorum of the voters is in its term.
   *
   * @param term term that the sender led
   * @param storage data folder of the former leader
   * @param successor instance that starts an election at once; the others wait for a while, so that
   *     candidates do not compete
   * @since 0.3
   */
  record Release(Term term, StorageId storage, InstanceId successor) implements LogMessage {}
}
