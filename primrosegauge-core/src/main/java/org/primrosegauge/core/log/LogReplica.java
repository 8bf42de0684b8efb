package org.primrosegauge.core.log;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogAction.ProposalRefused.Reason;
import org.primrosegauge.core.log.LogMessage.AppendReply;
import org.primrosegauge.core.log.LogMessage.AppendRequest;
import org.primrosegauge.core.log.LogMessage.Release;
import org.primrosegauge.core.log.LogMessage.SnapshotChunk;
import org.primrosegauge.core.log.LogMessage.SnapshotReply;
import org.primrosegauge.core.log.LogMessage.VoteReply;
import org.primrosegauge.core.log.LogMessage.VoteRequest;
import org.primrosegauge.core.log.cfg.LogSettings;
import org.primrosegauge.core.log.impl.Election;
import org.primrosegauge.core.log.impl.Follower;
import org.primrosegauge.core.log.impl.Leader;
import org.primrosegauge.core.log.impl.ReplicaContext;

/**
 * One replica of the log: a state machine that takes events and the present and returns actions.
 *
 * <p>Safety rests on these rules: a term, a vote and an entry are durable before a message claims
 * them; votes and acknowledgements count for an instance and its data folder together; a replica
 * that heard a leader within {@link LogSettings#electionMinMillis()}, or that restarted within it,
 * supports no other. The lease of a leader ends before such support can, as long as the rates of
 * two clocks differ by at most {@link LogSettings#clockDriftPercent()}.
 *
 * <p>Single-threaded. It lives as long as the process; after a restart it is rebuilt from the
 * journal. {@code nowMillis} is one monotonic clock throughout that life.
 *
 * @since 0.1
 */
public final class LogReplica {

  /** A learner is removed after this many times the silence after which a voter is replaced. */
  private static final int LEARNER_LOSS_FACTOR = 6;

  private final ReplicaContext context;
  private final RandomGenerator random;
  private final Follower follower;
  private Election election;
  private Leader leader;
  private long votesWithheldUntilMillis;
  private long electionDueMillis;

  // Life-cycle

  /**
   * Creates a replica from what its data folder holds. The state machine must hold the state of the
   * recovered snapshot.
   *
   * @param settings settings
   * @param recovered content of the data folder
   * @param random source of the election timeouts
   * @param nowMillis present
   * @since 0.1
   */
  public LogReplica(
      LogSettings settings, RecoveredLog recovered, RandomGenerator random, long nowMillis) {
    this.context = new ReplicaContext(settings, recovered);
    this.random = random;
    this.follower = new Follower(context);
    // The support that was promised before a restart is forgotten, so it is granted afresh.
    resetElectionTimer(nowMillis);
  }

  // Accessors

  /**
   * Returns the replica's id.
   *
   * @since 0.1
   */
  public ReplicaId id() {
    return context.self();
  }

  /**
   * Returns the present term.
   *
   * @since 0.1
   */
  public Term term() {
    return context.term();
  }

  /**
   * Returns the leader, if one is known.
   *
   * @since 0.1
   */
  public Optional<InstanceId> leader() {
    return Optional.ofNullable(context.leader());
  }

  /**
   * Tells whether this replica leads.
   *
   * @since 0.1
   */
  public boolean isLeader() {
    return leader != null;
  }

  /**
   * Returns the last committed position.
   *
   * @since 0.1
   */
  public LogIndex committed() {
    return new LogIndex(context.committed());
  }

  /**
   * Returns the last position of the log.
   *
   * @since 0.1
   */
  public LogIndex lastIndex() {
    return context.log().last();
  }

  /**
   * Returns the members as of the last entry, committed or not.
   *
   * @since 0.1
   */
  public Membership membership() {
    return context.membership();
  }

  /**
   * Returns the position that must be applied before a read that promises freshness is answered.
   * Present only while this replica leads under a valid lease.
   *
   * @since 0.1
   */
  public Optional<LogIndex> readIndex(long nowMillis) {
    boolean isFresh = leader != null && leader.hasCommittedInTerm() && leader.hasLease(nowMillis);
    return isFresh ? Optional.of(committed()) : Optional.empty();
  }

  /**
   * Returns the position of the first entry of the present term. Once it is applied, the state
   * holds all that was committed in earlier terms. Present only while this replica leads.
   *
   * @since 0.3
   */
  public Optional<LogIndex> termStartIndex() {
    return Optional.ofNullable(leader).map(each -> new LogIndex(each.termStartIndex()));
  }

  // Events

  /**
   * Takes a message.
   *
   * @since 0.1
   */
  public List<LogAction> received(InstanceId from, LogMessage message, long nowMillis) {
    if (message instanceof VoteRequest request) {
      onVoteRequest(from, request, nowMillis);
    } else if (isCurrent(from, message, nowMillis)) {
      dispatch(from, message, nowMillis);
    }
    return drain(nowMillis);
  }

  /**
   * Notes that all writes up to a number are durable.
   *
   * @param write number of a {@link LogAction.Persist}
   * @since 0.1
   */
  public List<LogAction> synced(long write, long nowMillis) {
    context.outbox().synced(write);
    if (leader != null) {
      leader.advanceCommit();
    }
    return drain(nowMillis);
  }

  /**
   * Proposes commands. They are appended together, or refused together.
   *
   * @param commands at least one, none empty
   * @since 0.1
   */
  public List<LogAction> propose(List<byte[]> commands, long nowMillis) {
    Reason refusal = leadershipRefusal(nowMillis);
    if (refusal == null && leader.isOverloaded()) {
      refusal = Reason.OVERLOADED;
    }
    if (refusal != null) {
      refuse(refusal);
    } else {
      LogIndex first = leader.append(commands, null, nowMillis);
      accept(first, commands.size());
    }
    return drain(nowMillis);
  }

  /**
   * Proposes one command.
   *
   * @since 0.1
   */
  public List<LogAction> propose(byte[] command, long nowMillis) {
    return propose(List.of(command), nowMillis);
  }

  /**
   * Proposes a change of the membership. One at a time is accepted, and a learner is promoted only
   * once it holds everything that is committed.
   *
   * @since 0.1
   */
  public List<LogAction> changeMembership(MembershipChange change, long nowMillis) {
    Reason refusal = leadershipRefusal(nowMillis);
    if (refusal == null) {
      refusal = changeRefusal(change, nowMillis);
    }
    if (refusal != null) {
      refuse(refusal);
    } else {
      accept(leader.append(context.membership().with(change), nowMillis), 1);
    }
    return drain(nowMillis);
  }

  /**
   * Takes a snapshot of the state machine, so that the entries before it can be dropped.
   *
   * @param index position of the last applied entry
   * @param state state after it
   * @since 0.1
   */
  public List<LogAction> snapshotTaken(LogIndex index, byte[] state, long nowMillis) {
    long number = index.number();
    if (number > context.log().snapshotIndex() && number <= context.committed()) {
      LogEntry entry = context.log().entry(number);
      Membership members = context.log().membershipAt(number);
      LogSnapshot snapshot =
          new LogSnapshot(index, entry.term(), entry.logMillis(), members, state);
      context.log().compact(snapshot, context.settings().trailingEntries());
      context.outbox().persist(snapshot, true, context.log().lastIndex());
    }
    return drain(nowMillis);
  }

  /**
   * Stops leading, if this replica leads and another can follow, and lets the others elect that one
   * at once. Its lease ends here, before any of them can support another.
   *
   * @since 0.3
   */
  public List<LogAction> transferLeadership(long nowMillis) {
    if (leader != null && leader.announceRelease(nowMillis)) {
      stepDown(nowMillis);
      // The others go first; if none of them can lead, this replica may again.
      electionDueMillis += context.settings().electionMaxMillis();
    }
    return drain(nowMillis);
  }

  /**
   * Lets time pass. To be called at least every quarter of a heartbeat interval.
   *
   * @since 0.1
   */
  public List<LogAction> tick(long nowMillis) {
    if (leader != null) {
      tickLeader(nowMillis);
    } else if (nowMillis >= electionDueMillis) {
      electionDueMillis = nowMillis + electionTimeout();
      context.setLeader(null);
      election = Election.isEligible(context) ? Election.start(context) : null;
    }
    return drain(nowMillis);
  }

  // Internals: terms and votes

  private boolean isCurrent(InstanceId from, LogMessage message, long nowMillis) {
    if (message instanceof VoteReply reply && reply.preVote() && reply.granted()) {
      return true;
    }
    if (message.term().isAfter(context.term())) {
      enterTerm(message.term());
    }
    boolean isStale = context.term().isAfter(message.term());
    if (isStale && (message instanceof AppendRequest || message instanceof SnapshotChunk)) {
      AppendReply answer =
          new AppendReply(context.term(), context.self().storage(), false, LogIndex.NONE, 0);
      context.outbox().sendWhenDurable(from, answer);
    }
    return !isStale;
  }

  private void enterTerm(Term term) {
    becomeFollower();
    context.updateHardState(new HardState(term, null));
    context.setLeader(null);
  }

  private void becomeFollower() {
    leader = null;
    election = null;
  }

  private void onVoteRequest(InstanceId from, VoteRequest request, long nowMillis) {
    if (leader != null || nowMillis < votesWithheldUntilMillis) {
      return;
    }
    if (!request.preVote() && request.term().isAfter(context.term())) {
      enterTerm(request.term());
    }
    boolean granted = request.preVote() ? canGrantPreVote(request) : canGrantVote(from, request);
    if (granted && !request.preVote()) {
      context.updateHardState(
          new HardState(request.term(), new ReplicaId(from, request.storage())));
      electionDueMillis = nowMillis + electionTimeout();
    }
    Term term = granted ? request.term() : context.term();
    VoteReply reply = new VoteReply(term, context.self().storage(), request.preVote(), granted);
    context.outbox().sendWhenDurable(from, reply);
  }

  private boolean canGrantPreVote(VoteRequest request) {
    return request.term().isAfter(context.term()) && isUpToDate(request);
  }

  private boolean canGrantVote(InstanceId from, VoteRequest request) {
    ReplicaId candidate = new ReplicaId(from, request.storage());
    ReplicaId votedFor = context.hardState().votedFor();
    return request.term().equals(context.term())
        && (votedFor == null || votedFor.equals(candidate))
        && isUpToDate(request);
  }

  private boolean isUpToDate(VoteRequest request) {
    int order = request.lastTerm().compareTo(context.log().lastTerm());
    return order > 0 || (order == 0 && request.lastIndex().number() >= lastIndex().number());
  }

  private void advanceElection(long nowMillis) {
    if (election != null && election.isPreVoteWon()) {
      election.startVote();
    }
    if (election != null && election.isVoteWon()) {
      Membership initial = context.log().isEmpty() ? election.initialMembership() : null;
      election = null;
      context.setLeader(context.self().instance());
      leader = Leader.start(context, initial, nowMillis);
    }
  }

  // Internals: roles

  private void dispatch(InstanceId from, LogMessage message, long nowMillis) {
    if (message instanceof AppendRequest request) {
      acceptLeader(from, nowMillis);
      follower.received(from, request);
    } else if (message instanceof SnapshotChunk chunk) {
      acceptLeader(from, nowMillis);
      follower.received(from, chunk);
    } else if (message instanceof Release release && from.equals(context.leader())) {
      votesWithheldUntilMillis = nowMillis;
      boolean isSuccessor = release.successor().equals(context.self().instance());
      electionDueMillis = nowMillis + (isSuccessor ? 0 : electionTimeout());
    } else if (message instanceof VoteReply reply && election != null) {
      election.received(from, reply);
    } else if (message instanceof AppendReply reply && leader != null) {
      leader.received(from, reply, nowMillis);
    } else if (message instanceof SnapshotReply reply && leader != null) {
      leader.received(from, reply, nowMillis);
    }
  }

  private void acceptLeader(InstanceId from, long nowMillis) {
    if (leader != null) {
      throw new IllegalStateException("two leaders in term " + context.term());
    }
    election = null;
    resetElectionTimer(nowMillis);
    context.setLeader(from);
  }

  private void resetElectionTimer(long nowMillis) {
    votesWithheldUntilMillis = nowMillis + context.settings().electionMinMillis();
    electionDueMillis = nowMillis + electionTimeout();
  }

  private long electionTimeout() {
    LogSettings settings = context.settings();
    return random.nextInt(settings.electionMinMillis(), settings.electionMaxMillis());
  }

  private void tickLeader(long nowMillis) {
    if (leader.hasLostQuorum(nowMillis)) {
      stepDown(nowMillis);
      return;
    }
    if (context.settings().automaticReadmission()) {
      reconcileMembership(nowMillis);
    }
    leader.tick(nowMillis);
  }

  private void stepDown(long nowMillis) {
    becomeFollower();
    context.setLeader(null);
    electionDueMillis = nowMillis + electionTimeout();
  }

  private boolean isLeaderRemoved() {
    return leader.hasCommittedInTerm()
        && !context.isVoter()
        && context.committed() >= context.log().membershipIndex();
  }

  // Internals: proposals

  private Reason leadershipRefusal(long nowMillis) {
    return leader == null || leader.hasLostQuorum(nowMillis) ? Reason.NOT_LEADER : null;
  }

  private Reason changeRefusal(MembershipChange change, long nowMillis) {
    Membership members = context.membership();
    boolean isAddition = change instanceof MembershipChange.AddLearner;
    if (!leader.hasCommittedInTerm() || context.committed() < context.log().membershipIndex()) {
      return Reason.CHANGE_IN_PROGRESS;
    }
    if (!isAddition && members.find(change.instance()).isEmpty()) {
      return Reason.INVALID_CHANGE;
    }
    Membership changed = members.with(change);
    int voters = changed.voters().size();
    if (voters == 0 || voters > Membership.MAX_VOTERS) {
      return Reason.INVALID_CHANGE;
    }
    boolean isPromotion = change instanceof MembershipChange.Promote;
    boolean isLate =
        isPromotion && !leader.isCaughtUp(members.find(change.instance()).orElseThrow(), nowMillis);
    if (isLate) {
      return Reason.NOT_CAUGHT_UP;
    }
    return leader.hasQuorumIn(changed, nowMillis) ? null : Reason.QUORUM_AT_RISK;
  }

  private void reconcileMembership(long nowMillis) {
    for (Member member : context.membership().members()) {
      MembershipChange change = nextChangeFor(member, nowMillis);
      if (change != null && changeRefusal(change, nowMillis) == null) {
        leader.append(context.membership().with(change), nowMillis);
        return;
      }
    }
    if (context.settings().targetVoters() > 0) {
      removeUnresponsiveMember(nowMillis);
    }
  }

  /** Removes a voter beyond the target that is silent, or a learner that is silent for long. */
  private void removeUnresponsiveMember(long nowMillis) {
    int loss = context.settings().voterLossMillis();
    boolean hasSpareVoter =
        context.membership().voters().size() > context.settings().targetVoters();
    for (Member member : context.membership().members()) {
      boolean isRemovable =
          member.isVoter()
              ? hasSpareVoter && leader.isUnresponsive(member, loss, nowMillis)
              : leader.isUnresponsive(member, LEARNER_LOSS_FACTOR * loss, nowMillis);
      MembershipChange change = new MembershipChange.Remove(member.replica().instance());
      if (isRemovable && changeRefusal(change, nowMillis) == null) {
        leader.append(context.membership().with(change), nowMillis);
        return;
      }
    }
  }

  private boolean needsVoter(long nowMillis) {
    int target = context.settings().targetVoters();
    int voters = context.membership().voters().size();
    boolean hasSilentVoter =
        context.membership().members().stream()
            .filter(Member::isVoter)
            .anyMatch(
                voter ->
                    leader.isUnresponsive(voter, context.settings().voterLossMillis(), nowMillis));
    return voters < target || (voters == target && hasSilentVoter);
  }

  private MembershipChange nextChangeFor(Member member, long nowMillis) {
    InstanceId instance = member.replica().instance();
    if (member.replica().equals(context.self())) {
      return null;
    }
    ReplicaId replacement = leader.replacementOf(member, nowMillis);
    if (replacement != null) {
      return new MembershipChange.AddLearner(replacement);
    }
    boolean isWanted =
        context.settings().targetVoters() > 0
            ? needsVoter(nowMillis)
            : context.settings().initialVoters().contains(instance);
    boolean isDue = !member.isVoter() && isWanted;
    return isDue ? new MembershipChange.Promote(instance) : null;
  }

  private void accept(LogIndex first, int count) {
    context.outbox().add(new LogAction.ProposalAccepted(first, count, context.term()));
  }

  private void refuse(Reason reason) {
    InstanceId known = reason == Reason.NOT_LEADER && leader != null ? null : context.leader();
    context.outbox().add(new LogAction.ProposalRefused(reason, known));
  }

  private List<LogAction> drain(long nowMillis) {
    advanceElection(nowMillis);
    if (leader != null && isLeaderRemoved()) {
      stepDown(nowMillis);
    }
    return context.outbox().drain();
  }
}
