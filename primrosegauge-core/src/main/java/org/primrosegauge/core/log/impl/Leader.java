package org.primrosegauge.core.log.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.LogIndex;
import org.primrosegauge.core.log.LogMessage.AppendReply;
import org.primrosegauge.core.log.LogMessage.Release;
import org.primrosegauge.core.log.LogMessage.SnapshotReply;
import org.primrosegauge.core.log.Member;
import org.primrosegauge.core.log.Membership;
import org.primrosegauge.core.log.ReplicaId;

/**
 * Leader role for one term: appends, replicates and commits entries and tracks the leader lease.
 *
 * <p>Not thread-safe. Valid for the term that it leads.
 *
 * @since 0.1
 */
public final class Leader {

  private static final byte[] NO_COMMAND = {};

  private final ReplicaContext context;
  private final Replicator replicator;
  private final Map<InstanceId, FollowerProgress> followers = new HashMap<>();
  private final long startMillis;
  private final long startLogMillis;
  private final long termStartIndex;
  private long nextHeartbeatMillis;
  private long uncommittedBytes;
  private long suspendedMillis = Long.MIN_VALUE;

  private Leader(ReplicaContext context, long nowMillis) {
    this.context = context;
    this.replicator = new Replicator(context);
    this.startMillis = nowMillis;
    this.startLogMillis = context.log().lastLogMillis();
    this.termStartIndex = context.log().lastIndex() + 1;
    this.nextHeartbeatMillis = nowMillis;
  }

  /**
   * Starts leading a term.
   *
   * @param initial first membership of a log that starts with this term; null if the log already
   *     has members
   */
  public static Leader start(ReplicaContext context, Membership initial, long nowMillis) {
    Leader leader = new Leader(context, nowMillis);
    // Entries of earlier terms can be committed only together with an entry of the current term.
    leader.append(List.of(NO_COMMAND), initial, nowMillis);
    leader.tick(nowMillis);
    return leader;
  }

  /** Returns the progress of a follower. A new one starts at the end of the log. */
  FollowerProgress progress(InstanceId instance) {
    return followers.computeIfAbsent(
        instance, id -> new FollowerProgress(context.log().lastIndex() + 1));
  }

  /**
   * Returns the index of the first entry of this term. All entries before it are from earlier
   * terms.
   */
  public long termStartIndex() {
    return termStartIndex;
  }

  /**
   * Returns whether the leader has committed an entry of its term and so knows all committed
   * entries.
   */
  public boolean hasCommittedInTerm() {
    return context.committed() >= termStartIndex;
  }

  /**
   * Returns whether the lease is valid: a quorum of the voters withholds its votes from other
   * candidates.
   */
  public boolean hasLease(long nowMillis) {
    long contactMillis = quorumContactMillis(nowMillis);
    return contactMillis > suspendedMillis
        && nowMillis < contactMillis + context.settings().leaseMillis();
  }

  /** Ends the lease until a quorum has replied to a message that is sent later. */
  public void suspended(long nowMillis) {
    suspendedMillis = nowMillis;
    nextHeartbeatMillis = nowMillis;
  }

  /**
   * Returns whether the leader has been without contact to a quorum for so long that it must step
   * down.
   */
  public boolean hasLostQuorum(long nowMillis) {
    long contact = Math.max(startMillis, quorumContactMillis(nowMillis));
    return nowMillis >= contact + context.settings().electionMaxMillis();
  }

  /** Returns whether the size of the uncommitted entries has reached its limit. */
  public boolean isOverloaded() {
    return uncommittedBytes >= context.settings().maxUncommittedBytes();
  }

  /** Appends entries, persists and replicates them, and returns the index of the first one. */
  public LogIndex append(List<byte[]> commands, Membership membership, long nowMillis) {
    long logMillis = startLogMillis + Math.max(0, nowMillis - startMillis);
    List<LogEntry> entries = new ArrayList<>();
    LogIndex index = context.log().last();
    for (byte[] command : commands) {
      index = index.next();
      entries.add(new LogEntry(index, context.term(), logMillis, membership, command));
      uncommittedBytes += entries.get(entries.size() - 1).sizeBytes();
    }
    context.append(entries);
    replicate(nowMillis);
    return entries.get(0).index();
  }

  /** Appends an entry that changes the membership. */
  public LogIndex append(Membership membership, long nowMillis) {
    return append(List.of(NO_COMMAND), membership, nowMillis);
  }

  /** Sends the heartbeats and entries that are due. */
  public void tick(long nowMillis) {
    if (nowMillis < nextHeartbeatMillis) {
      return;
    }
    nextHeartbeatMillis = nowMillis + context.settings().heartbeatMillis();
    for (Member member : peers()) {
      replicator.heartbeat(
          member.replica().instance(), progress(member.replica().instance()), nowMillis);
    }
    replicate(nowMillis);
  }

  /**
   * Announces to the other members that this replica steps down, and names a successor.
   *
   * @return false if no voter can succeed this replica; nothing is sent in that case
   */
  public boolean announceRelease(long nowMillis) {
    InstanceId successor = successor(nowMillis);
    if (successor == null) {
      return false;
    }
    Release release = new Release(context.term(), context.self().storage(), successor);
    for (Member member : peers()) {
      context.outbox().send(member.replica().instance(), release);
    }
    return true;
  }

  /** Returns the caught-up voter with the highest match index; null if there is none. */
  private InstanceId successor(long nowMillis) {
    return peers().stream()
        .filter(Member::isVoter)
        .filter(voter -> isCaughtUp(voter, nowMillis))
        .map(voter -> voter.replica().instance())
        .max(Comparator.comparingLong(instance -> progress(instance).matchIndex()))
        .orElse(null);
  }

  /** Handles a reply to an append request. */
  public void received(InstanceId from, AppendReply reply, long nowMillis) {
    FollowerProgress progress = progress(from);
    progress.recordReply(reply.storage(), reply.sentMillis());
    if (reply.accepted()) {
      progress.recordAccepted(Math.min(reply.index().number(), context.log().lastIndex()));
      advanceCommit();
    } else {
      progress.recordRejected(reply.index().number());
      replicator.heartbeat(from, progress, nowMillis);
    }
    replicator.send(from, progress, nowMillis);
  }

  /** Handles a request for the next chunk of a snapshot. */
  public void received(InstanceId from, SnapshotReply reply, long nowMillis) {
    FollowerProgress progress = progress(from);
    progress.recordReply(reply.storage(), reply.sentMillis());
    if (progress.snapshot() != null && progress.snapshot().index().equals(reply.index())) {
      progress.recordChunkAcked(reply.nextOffset());
    }
    replicator.send(from, progress, nowMillis);
  }

  /** Commits all entries that are durable on a quorum of the voters. */
  public void advanceCommit() {
    long index = context.membership().highestOfQuorum(this::durableIndex).orElse(0);
    if (index > context.committed() && context.term().equals(context.log().termAt(index))) {
      for (long at = context.committed() + 1; at <= index; at++) {
        uncommittedBytes -= at < termStartIndex ? 0 : context.log().entry(at).sizeBytes();
      }
      context.commit(index);
    }
  }

  /** Returns whether a member holds all committed entries and has replied recently. */
  public boolean isCaughtUp(Member member, long nowMillis) {
    FollowerProgress progress = progress(member.replica().instance());
    return member.replica().storage().equals(progress.storage())
        && progress.matchIndex() >= context.committed()
        && isRecentlyActive(progress, nowMillis);
  }

  /**
   * Returns whether a quorum of a membership has replied recently and holds all committed entries.
   */
  public boolean hasQuorumIn(Membership membership, long nowMillis) {
    return membership.isQuorum(
        voter ->
            voter.equals(context.self())
                || isCaughtUp(membership.find(voter.instance()).orElseThrow(), nowMillis));
  }

  /**
   * Returns the replica that replies for the instance of a member from another data folder; null if
   * there is none.
   */
  public ReplicaId replacementOf(Member member, long nowMillis) {
    InstanceId instance = member.replica().instance();
    FollowerProgress progress = progress(instance);
    boolean isOtherStorage =
        progress.storage() != null && !progress.storage().equals(member.replica().storage());
    return isOtherStorage && isRecentlyActive(progress, nowMillis)
        ? new ReplicaId(instance, progress.storage())
        : null;
  }

  /**
   * Returns whether a member has not replied for a period. The start of the term counts as a reply.
   */
  public boolean isUnresponsive(Member member, long forMillis, long nowMillis) {
    if (member.replica().equals(context.self())) {
      return false;
    }
    FollowerProgress progress = progress(member.replica().instance());
    long lastReplyMillis = Math.max(startMillis, progress.ackedSentMillis());
    return nowMillis - lastReplyMillis > forMillis;
  }

  private boolean isRecentlyActive(FollowerProgress progress, long nowMillis) {
    return progress.ackedSentMillis() + context.settings().electionMinMillis() > nowMillis;
  }

  private void replicate(long nowMillis) {
    for (Member member : peers()) {
      replicator.send(
          member.replica().instance(), progress(member.replica().instance()), nowMillis);
    }
  }

  private List<Member> peers() {
    return context.membership().members().stream()
        .filter(member -> !member.replica().instance().equals(context.self().instance()))
        .toList();
  }

  private long durableIndex(ReplicaId voter) {
    if (voter.equals(context.self())) {
      return context.outbox().durableIndex();
    }
    FollowerProgress progress = progress(voter.instance());
    return voter.storage().equals(progress.storage()) ? progress.matchIndex() : 0;
  }

  private long quorumContactMillis(long nowMillis) {
    return context
        .membership()
        .highestOfQuorum(voter -> contactMillis(voter, nowMillis))
        .orElse(FollowerProgress.NEVER);
  }

  private long contactMillis(ReplicaId voter, long nowMillis) {
    if (voter.equals(context.self())) {
      return nowMillis;
    }
    FollowerProgress progress = progress(voter.instance());
    return voter.storage().equals(progress.storage())
        ? progress.ackedSentMillis()
        : FollowerProgress.NEVER;
  }
}
