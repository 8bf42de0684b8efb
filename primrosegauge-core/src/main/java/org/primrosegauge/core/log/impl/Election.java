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
 * Election from the point of view of the candidate: a pre-vote followed by a vote.
 *
 * <p>A log that has never been started is also started by an election. Any initial voter may be the
 * candidate, because another one may have restarted without knowing the initial voters. The
 * candidate needs the votes of all initial voters. A voter that has entries rejects a candidate
 * that has none, so a site that lost some of its disks cannot start a second log. The votes also
 * carry the storage ids that the first membership contains.
 *
 * <p>Not thread-safe. An election ends when it is won or abandoned.
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

  /** Returns whether a replica may be a candidate. */
  public static boolean isEligible(ReplicaContext context) {
    return context.log().isEmpty()
        ? isInitialVoter(context)
        : context.isVoter() || wasVoterBeforeUncommittedChange(context);
  }

  /**
   * A leader that removes itself may be the only replica that has the entry of that change. It must
   * be able to be elected again: the remaining voters lack the entry, so it rejects them as
   * candidates.
   */
  private static boolean wasVoterBeforeUncommittedChange(ReplicaContext context) {
    MemoryLog log = context.log();
    long change = log.membershipIndex();
    return change > context.committed() && log.membershipAt(change - 1).isVoter(context.self());
  }

  private static boolean isInitialVoter(ReplicaContext context) {
    return context.settings().initialVoters().contains(context.self().instance());
  }

  /** Starts an election with a pre-vote. */
  public static Election start(ReplicaContext context) {
    Election election = new Election(context);
    election.grantedVotes.put(context.self().instance(), context.self().storage());
    election.sendVoteRequests(context.term().next());
    return election;
  }

  /**
   * Sends the requests again to the voters that have not granted them: they may have been lost, or
   * may be granted now.
   */
  public void repeatRequests() {
    sendVoteRequests(preVote ? context.term().next() : context.term());
  }

  /** Handles a reply of a voter. */
  public void received(InstanceId from, VoteReply reply) {
    boolean current = preVote ? isForNextTerm(reply.term()) : reply.term().equals(context.term());
    if (reply.preVote() == preVote && reply.granted() && current) {
      grantedVotes.put(from, reply.storage());
    }
  }

  /** Starts the vote after a successful pre-vote. */
  public void startVote() {
    preVote = false;
    grantedVotes.clear();
    context.updateHardState(new HardState(context.term().next(), context.self(), false));
    ownVoteWrite = context.outbox().lastWriteNumber();
    sendVoteRequests(context.term());
  }

  /** Returns whether the pre-vote is won, so that the vote has to be started. */
  public boolean isPreVoteWon() {
    return preVote && isWon();
  }

  /** Returns whether the vote is won. */
  public boolean isVoteWon() {
    if (preVote) {
      return false;
    }
    if (context.outbox().syncedWriteNumber() >= ownVoteWrite) {
      grantedVotes.put(context.self().instance(), context.self().storage());
    }
    return isWon();
  }

  /** Returns the first membership of a new log. */
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
    return context
        .membership()
        .isQuorum(voter -> voter.storage().equals(grantedVotes.get(voter.instance())));
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
      boolean isSelf = voter.equals(context.self().instance());
      if (!isSelf && !grantedVotes.containsKey(voter)) {
        context.outbox().sendWhenDurable(voter, request);
      }
    }
  }

  private List<InstanceId> voterInstances() {
    return voterInstances(context);
  }

  /** Returns the instances whose votes count. */
  public static List<InstanceId> voterInstances(ReplicaContext context) {
    if (context.log().isEmpty()) {
      return context.settings().initialVoters();
    }
    return context.membership().voters().stream().map(ReplicaId::instance).toList();
  }
}
