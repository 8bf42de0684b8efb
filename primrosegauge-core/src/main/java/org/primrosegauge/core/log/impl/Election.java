package org.primrosegauge.core.log.impl;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.HardState;
import org.primrosegauge.core.log.LogMessage.VoteReply;
import org.primrosegauge.core.log.LogMessage.VoteRequest;
import org.primrosegauge.core.log.Member;
import org.primrosegauge.core.log.Membership;
import org.primrosegauge.core.log.ReplicaId;
import org.primrosegauge.core.log.StorageId;

/**
 * One candidacy: a pre-vote, then a vote.
 *
 * <p>A log that was never started is started by an election too. Any of the initial voters may be
 * its candidate, as another may have restarted and know of no initial voters; it needs the votes of
 * all of them. A voter with a log refuses a candidate without one, so a site that lost some disks
 * cannot start a second log; and the votes bring the storage ids that the first membership records.
 *
 * <p>Single-threaded; lives until the candidacy is won or given up.
 *
 * @since 0.1
 */
public final class Election {

  private final ReplicaContext context;
  private final Map<InstanceId, StorageId> grantedVotes = new HashMap<>();
  private boolean preVote = true;
  private long ownVoteWrite;

  private Election(ReplicaContext context) {
    this.context = context;
  }

  /** Tells whether a replica may be a candidate at all. */
  public static boolean isEligible(ReplicaContext context) {
    return context.log().isEmpty()
        ? isInitialVoter(context)
        : context.isVoter() || wasVoterBeforeUncommittedChange(context);
  }

  /**
   * A leader that removed itself may have been the only one to log that change. It must be able to
   * lead once more, because the remaining voters lack the entry and it refuses them for that.
   */
  private static boolean wasVoterBeforeUncommittedChange(ReplicaContext context) {
    MemoryLog log = context.log();
    long change = log.membershipIndex();
    return change > context.committed() && log.membershipAt(change - 1).isVoter(context.self());
  }

  private static boolean isInitialVoter(ReplicaContext context) {
    return context.settings().initialVoters().contains(context.self().instance());
  }

  /** Starts the pre-vote. */
  public static Election start(ReplicaContext context) {
    Election election = new Election(context);
    election.grantedVotes.put(context.self().instance(), context.self().storage());
    election.sendVoteRequests(context.term().next());
    return election;
  }

  /** Takes an answer. */
  public void received(InstanceId from, VoteReply reply) {
    boolean current = preVote ? isForNextTerm(reply.term()) : reply.term().equals(context.term());
    if (reply.preVote() == preVote && reply.granted() && current) {
      grantedVotes.put(from, reply.storage());
    }
  }

  /** Moves on from a won pre-vote to the vote. */
  public void startVote() {
    preVote = false;
    grantedVotes.clear();
    context.updateHardState(new HardState(context.term().next(), context.self()));
    ownVoteWrite = context.outbox().lastWriteNumber();
    sendVoteRequests(context.term());
  }

  /** Tells whether the pre-vote is won and the vote has to start. */
  public boolean isPreVoteWon() {
    return preVote && isWon();
  }

  /** Tells whether the vote is won. */
  public boolean isVoteWon() {
    if (preVote) {
      return false;
    }
    if (context.outbox().syncedWriteNumber() >= ownVoteWrite) {
      grantedVotes.put(context.self().instance(), context.self().storage());
    }
    return isWon();
  }

  /** Returns the members that a new log starts with. */
  public Membership initialMembership() {
    return new Membership(
        context.settings().initialVoters().stream()
            .map(id -> new Member(new ReplicaId(id, grantedVotes.get(id)), Member.Role.VOTER))
            .toList());
  }

  private boolean isForNextTerm(Term term) {
    return term.equals(context.term().next());
  }

  private boolean isWon() {
    if (context.log().isEmpty()) {
      return grantedVotes.keySet().containsAll(context.settings().initialVoters());
    }
    Membership membership = context.membership();
    long votes =
        membership.voters().stream()
            .filter(voter -> voter.storage().equals(grantedVotes.get(voter.instance())))
            .count();
    return votes >= membership.quorum();
  }

  private void sendVoteRequests(Term term) {
    VoteRequest request =
        new VoteRequest(
            term,
            context.self().storage(),
            preVote,
            context.log().last(),
            context.log().lastTerm());
    for (InstanceId voter : voterInstances()) {
      if (!voter.equals(context.self().instance())) {
        context.outbox().sendWhenDurable(voter, request);
      }
    }
  }

  private List<InstanceId> voterInstances() {
    if (context.log().isEmpty()) {
      return context.settings().initialVoters();
    }
    return context.membership().voters().stream().map(ReplicaId::instance).toList();
  }
}
