package org.primrosegauge.core.log.impl;

import java.util.ArrayList;
import java.util.Collections;
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
 * Leads one term: appends, replicates, commits, keeps the lease.
 *
 * <p>Single-threaded; lives as long as the term that it leads.
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

  private Leader(ReplicaContext context, long nowMillis) {
    this.context = context;
    this.replicator = new Replicator(context);
    this.startMillis = nowMillis;
    this.startLogMillis = context.log().lastLogMillis();
    this.termStartIndex = context.log().lastIndex() + 1;
    this.nextHeartbeatMillis = nowMillis;
  }

  /**
   * Starts a term.
   *
   * @param initial members of a log that starts with this term; null when it has members
   */
  public static Leader start(ReplicaContext context, Membership initial, long nowMillis) {
    Leader leader = new Leader(context, nowMillis);
    // An entry of the own term is needed before entries of earlier terms can be committed.
    leader.append(List.of(NO_COMMAND), initial, nowMillis);
    leader.tick(nowMillis);
    return leader;
  }

  /** Returns a follower's progress, starting it at the end of the log. */
  FollowerProgress progress(InstanceId instance) {
    return followers.computeIfAbsent(
        instance, id -> new FollowerProgress(context.log().lastIndex() + 1));
  }

  /** Returns the position of the first entry of its term; all before it is of earlier terms. */
  public long termStartIndex() {
    return termStartIndex;
  }

  /**
   * Tells whether the leader has committed an entry of its term, so knows all that is committed.
   */
  public boolean hasCommittedInTerm() {
    return context.committed() >= termStartIndex;
  }

  /** Tells whether a quorum supports no other leader for now. */
  public boolean hasLease(long nowMillis) {
    return nowMillis < quorumContactMillis(nowMillis) + context.settings().leaseMillis();
  }

  /** Tells whether the leader has not heard a quorum for so long that it has to step down. */
  public boolean hasLostQuorum(long nowMillis) {
    long contact = Math.max(startMillis, quorumContactMillis(nowMillis));
    return nowMillis >= contact + context.settings().electionMaxMillis();
  }

  /** Tells whether too many bytes wait for commitment. */
  public boolean isOverloaded() {
    return uncommittedBytes >= context.settings().maxUncommittedBytes();
  }

  /** Appends entries, writes and replicates them; returns the position of the first. */
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

  /** Appends a change of the membership. */
  public LogIndex append(Membership membership, long nowMillis) {
    return append(List.of(NO_COMMAND), membership, nowMillis);
  }

  /** Sends heartbeats that are due. */
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
   * Tells the others that this replica leads no more, and who is to follow.
   *
   * @return false when there is nobody who could follow; nothing is said then
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

  /** Returns the voter that answers and holds most; null when there is none. */
  private InstanceId successor(long nowMillis) {
    return peers().stream()
        .filter(Member::isVoter)
        .filter(voter -> isCaughtUp(voter, nowMillis))
        .map(voter -> voter.replica().instance())
        .max(Comparator.comparingLong(instance -> progress(instance).matchIndex()))
        .orElse(null);
  }

  /** Takes an answer to entries. */
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

  /** Takes a request for the next part of a snapshot. */
  public void received(InstanceId from, SnapshotReply reply, long nowMillis) {
    FollowerProgress progress = progress(from);
    progress.recordReply(reply.storage(), reply.sentMillis());
    if (progress.snapshot() != null && progress.snapshot().index().equals(reply.index())) {
      progress.recordChunkAcked(reply.nextOffset());
    }
    replicator.send(from, progress, nowMillis);
  }

  /** Commits what a quorum holds durably. */
  public void advanceCommit() {
    List<Long> durable = new ArrayList<>();
    for (ReplicaId voter : context.membership().voters()) {
      durable.add(durableIndex(voter));
    }
    durable.sort(Collections.reverseOrder());
    int quorum = context.membership().quorum();
    long index = durable.size() < quorum ? 0 : durable.get(quorum - 1);
    if (index > context.committed() && context.term().equals(context.log().termAt(index))) {
      for (long at = context.committed() + 1; at <= index; at++) {
        uncommittedBytes -= at < termStartIndex ? 0 : context.log().entry(at).sizeBytes();
      }
      context.commit(index);
    }
  }

  /** Tells whether a member holds everything that is committed and answers. */
  public boolean isCaughtUp(Member member, long nowMillis) {
    FollowerProgress progress = progress(member.replica().instance());
    return member.replica().storage().equals(progress.storage())
        && progress.matchIndex() >= context.committed()
        && isRecentlyActive(progress, nowMillis);
  }

  /** Tells whether a quorum of a membership answers and holds everything that is committed. */
  public boolean hasQuorumIn(Membership membership, long nowMillis) {
    long present =
        membership.members().stream()
            .filter(Member::isVoter)
            .filter(voter -> voter.replica().equals(context.self()) || isCaughtUp(voter, nowMillis))
            .count();
    return present >= membership.quorum();
  }

  /** Returns the replica that answers for a voter from another data folder; null when none does. */
  public ReplicaId replacementOf(Member member, long nowMillis) {
    InstanceId instance = member.replica().instance();
    FollowerProgress progress = progress(instance);
    boolean isOther =
        progress.storage() != null && !progress.storage().equals(member.replica().storage());
    return isOther && isRecentlyActive(progress, nowMillis)
        ? new ReplicaId(instance, progress.storage())
        : null;
  }

  /**
   * Tells whether a member has not answered for a time. A member counts as heard at the start of
   * the term.
   */
  public boolean isUnresponsive(Member member, long forMillis, long nowMillis) {
    if (member.replica().equals(context.self())) {
      return false;
    }
    FollowerProgress progress = progress(member.replica().instance());
    long heard = Math.max(startMillis, progress.ackedSentMillis());
    return nowMillis - heard > forMillis;
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
    List<Long> contacts = new ArrayList<>();
    for (ReplicaId voter : context.membership().voters()) {
      contacts.add(contactMillis(voter, nowMillis));
    }
    contacts.sort(Collections.reverseOrder());
    int quorum = context.membership().quorum();
    return contacts.size() < quorum ? FollowerProgress.NEVER : contacts.get(quorum - 1);
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
