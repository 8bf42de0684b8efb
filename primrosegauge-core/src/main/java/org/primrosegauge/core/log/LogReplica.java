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
import org.primrosegauge.core.log.impl.MembershipManager;
import org.primrosegauge.core.log.impl.ReplicaContext;

/**
 * Replica of the log: a state machine that takes events together with the current time and returns
 * actions.
 *
 * <p>Safety depends on these rules: a term, a vote and an entry are durable before a message that
 * depends on them is sent; votes and acknowledgements are counted per instance and data folder; a
 * replica that heard from a leader within {@link LogSettings#electionMinMillis()}, or that
 * restarted within it, ignores vote requests. The lease of a leader expires before its followers
 * vote again, provided that the rates of any two clocks differ by at most {@link
 * LogSettings#clockDriftPercent()}.
 *
 * <p>Not thread-safe. A replica exists as long as its process; after a restart it is recreated from
 * the journal. All {@code nowMillis} arguments are readings of the same monotonic clock.
 *
 * @since 0.1
 */
public final class LogReplica {

  private final ReplicaContext context;
  private final RandomGenerator random;
  private final Follower follower;
  private Election election;
  private Leader leader;
  private MembershipManager members;
  private long votesWithheldUntilMillis;
  private long electionDueMillis;
  private long repetitionDueMillis;
  private Term releasedTerm = Term.NONE;

  /**
   * Creates a replica from the content of its data folder. The state machine must already hold the
   * state of the recovered snapshot.
   *
   * @param settings settings
   * @param recovered content of the data folder
   * @param random source of the election timeouts
   * @param nowMillis current time, in milliseconds
   * @since 0.1
   */
  public LogReplica(
      LogSettings settings, RecoveredLog recovered, RandomGenerator random, long nowMillis) {
    this.context = new ReplicaContext(settings, recovered);
    this.random = random;
    this.follower = new Follower(context);
    // A leader heard before the restart is not recorded, so votes are withheld for the minimum
    // election timeout.
    resetElectionTimer(nowMillis);
    if (recovered.hardState().led()) {
      // Its own lease ended with its former process, so the voters need not wait for it.
      electionDueMillis = nowMillis;
    }
  }

  /**
   * Returns the id of this replica.
   *
   * @since 0.1
   */
  public ReplicaId id() {
    return context.self();
  }

  /**
   * Returns the current term.
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
   * Returns whether this replica is the leader.
   *
   * @since 0.1
   */
  public boolean isLeader() {
    return leader != null;
  }

  /**
   * Returns the last committed index.
   *
   * @since 0.1
   */
  public LogIndex committed() {
    return new LogIndex(context.committed());
  }

  /**
   * Returns the last index of the log.
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
   * Returns whether this replica has to ask the leader to be admitted. One that knows no leader may
   * have been removed without having received the change; for a member, asking has no effect.
   *
   * @since 0.4
   */
  public boolean needsAdmission() {
    return !membership().contains(id()) || (!isLeader() && leader().isEmpty());
  }

  /**
   * Reports that the machine was suspended for a time that the monotonic clock did not count. The
   * lease of a leader ends; it is valid again once a quorum has replied to a later message.
   *
   * @since 0.4
   */
  public void suspended(long nowMillis) {
    if (leader != null) {
      leader.suspended(nowMillis);
    }
  }

  /**
   * Returns the index that must be applied before a linearizable read is served. Empty unless this
   * replica leads under a valid lease.
   *
   * @since 0.1
   */
  public Optional<LogIndex> readIndex(long nowMillis) {
    boolean isFresh = leader != null && leader.hasCommittedInTerm() && leader.hasLease(nowMillis);
    return isFresh ? Optional.of(committed()) : Optional.empty();
  }

  /**
   * Returns the index of the first entry of the current term. Once it is applied, the state
   * includes everything that was committed in earlier terms. Empty unless this replica is the
   * leader.
   *
   * @since 0.3
   */
  public Optional<LogIndex> termStartIndex() {
    return Optional.ofNullable(leader).map(current -> new LogIndex(current.termStartIndex()));
  }

  /**
   * Handles a message from another replica.
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
   * Reports that all writes up to a number are durable.
   *
   * @param write write number of a {@link LogAction.Persist}
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
   * Proposes commands. Either all of them are appended or all are rejected, as they are if one of
   * them has more than {@link LogEntry#MAX_COMMAND_BYTES}, which could not be replicated.
   *
   * @param commands at least one command; none may be empty
   * @since 0.1
   */
  public List<LogAction> propose(List<byte[]> commands, long nowMillis) {
    Reason refusal = leadershipRefusal(nowMillis);
    if (commands.stream().anyMatch(command -> command.length > LogEntry.MAX_COMMAND_BYTES)) {
      refusal = Reason.TOO_LARGE;
    } else if (refusal == null && leader.isOverloaded()) {
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
   * Proposes a membership change. A change is rejected while an earlier one is uncommitted, and a
   * learner is promoted only once it holds all committed entries.
   *
   * @since 0.1
   */
  public List<LogAction> changeMembership(MembershipChange change, long nowMillis) {
    Reason refusal = leadershipRefusal(nowMillis);
    if (refusal == null) {
      refusal = members.refusal(change, nowMillis);
    }
    if (refusal != null) {
      refuse(refusal);
    } else {
      accept(leader.append(context.membership().with(change), nowMillis), 1);
    }
    return drain(nowMillis);
  }

  /**
   * Stores a snapshot of the state machine, so that the entries that it covers can be discarded.
   *
   * @param index index of the last entry that the snapshot covers
   * @param state state after that entry
   * @since 0.1
   */
  public List<LogAction> snapshotTaken(LogIndex index, byte[] state, long nowMillis) {
    long number = index.number();
    if (number > context.log().snapshotIndex() && number <= context.committed()) {
      LogEntry entry = context.log().entry(number);
      Membership members = context.log().membershipAt(number);
      LogSnapshot snapshot =
          new LogSnapshot(index, entry.term(), entry.logMillis(), members, state);
      LogSettings limits = context.settings();
      context.log().compact(snapshot, limits.trailingEntries(), limits.trailingBytes());
      context.outbox().persist(snapshot, true, context.log().lastIndex());
    }
    return drain(nowMillis);
  }

  /**
   * Steps down if this replica is the leader and a voter can succeed it, and lets that voter start
   * an election at once. The lease of this replica ends here, before any other voter can grant a
   * vote.
   *
   * @since 0.3
   */
  public List<LogAction> transferLeadership(long nowMillis) {
    if (leader != null && leader.announceRelease(nowMillis)) {
      stepDown(nowMillis);
      // The other voters get the first chance; this replica is a candidate again only if none of
      // them is elected.
      electionDueMillis += context.settings().electionMaxMillis();
    }
    return drain(nowMillis);
  }

  /**
   * Handles the passage of time: heartbeats, elections and membership repair. Must be called at
   * least once per quarter of a heartbeat interval.
   *
   * @since 0.1
   */
  public List<LogAction> tick(long nowMillis) {
    if (leader != null) {
      tickLeader(nowMillis);
    } else if (nowMillis >= electionDueMillis) {
      electionDueMillis = nowMillis + electionTimeout();
      context.setLeader(null);
      announceEndOfLease();
      election = Election.isEligible(context) ? Election.start(context) : null;
      repetitionDueMillis = nowMillis + repetitionInterval();
    } else if (isRepetitionDue(nowMillis)) {
      announceEndOfLease();
      election.repeatRequests();
      repetitionDueMillis = nowMillis + repetitionInterval();
    }
    return drain(nowMillis);
  }

  /**
   * Tells the voters that the lease of this replica is over if it was the leader of the current
   * term: it has restarted or stepped down since.
   */
  private void announceEndOfLease() {
    if (!context.hardState().led()) {
      return;
    }
    InstanceId self = context.self().instance();
    Release release = new Release(context.term(), context.self().storage(), self);
    Election.voterInstances(context).stream()
        .filter(voter -> !voter.equals(self))
        .forEach(voter -> context.outbox().send(voter, release));
  }

  private boolean isRepetitionDue(long nowMillis) {
    return election != null && nowMillis >= repetitionDueMillis;
  }

  private boolean isCurrent(InstanceId from, LogMessage message, long nowMillis) {
    if (message instanceof VoteReply reply && reply.preVote() && reply.granted()) {
      return true;
    }
    if (message.term().isAfter(context.term())) {
      enterTerm(message.term());
    }
    boolean isStale = context.term().isAfter(message.term());
    if (isStale && (message instanceof AppendRequest || message instanceof SnapshotChunk)) {
      AppendReply rejection =
          new AppendReply(context.term(), context.self().storage(), false, LogIndex.NONE, 0);
      context.outbox().sendWhenDurable(from, rejection);
    }
    return !isStale;
  }

  private void enterTerm(Term term) {
    becomeFollower();
    context.updateHardState(new HardState(term, null, false));
    context.setLeader(null);
  }

  private void becomeFollower() {
    leader = null;
    members = null;
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
          new HardState(request.term(), new ReplicaId(from, request.storage()), false));
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
      members = new MembershipManager(context, leader);
      HardState won = context.hardState();
      context.updateHardState(new HardState(won.term(), won.votedFor(), true));
    }
  }

  private void dispatch(InstanceId from, LogMessage message, long nowMillis) {
    if (message instanceof AppendRequest request) {
      acceptLeader(from, nowMillis);
      follower.received(from, request);
    } else if (message instanceof SnapshotChunk chunk) {
      acceptLeader(from, nowMillis);
      follower.received(from, chunk);
    } else if (message instanceof Release release && isFromLeader(from)) {
      acceptRelease(release, nowMillis);
    } else if (message instanceof VoteReply reply && election != null) {
      election.received(from, reply);
    } else if (message instanceof AppendReply reply && leader != null) {
      leader.received(from, reply, nowMillis);
    } else if (message instanceof SnapshotReply reply && leader != null) {
      leader.received(from, reply, nowMillis);
    }
  }

  /** Lets the successor go first; a release that is repeated changes nothing more. */
  private void acceptRelease(Release release, long nowMillis) {
    votesWithheldUntilMillis = nowMillis;
    if (release.term().isAfter(releasedTerm)) {
      releasedTerm = release.term();
      boolean isSuccessor = release.successor().equals(context.self().instance());
      electionDueMillis = nowMillis + (isSuccessor ? 0 : successionTimeout());
    }
  }

  /** Returns whether an instance may be the leader of the current term. */
  private boolean isFromLeader(InstanceId from) {
    return leader == null && (context.leader() == null || from.equals(context.leader()));
  }

  private void acceptLeader(InstanceId from, long nowMillis) {
    if (leader != null) {
      throw new IllegalStateException(
          "received a message of another leader while leading term " + context.term());
    }
    election = null;
    resetElectionTimer(nowMillis);
    context.setLeader(from);
  }

  private void resetElectionTimer(long nowMillis) {
    votesWithheldUntilMillis = nowMillis + context.settings().electionMinMillis();
    electionDueMillis = nowMillis + electionTimeout();
  }

  private long repetitionInterval() {
    int heartbeat = context.settings().heartbeatMillis();
    return random.nextInt(heartbeat / 4, heartbeat / 2 + 1);
  }

  /** Returns how long a replica leaves the election to the successor that a leader has named. */
  private long successionTimeout() {
    int longest = context.settings().electionMinMillis();
    return random.nextInt(longest / 2, longest);
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
    boolean isReplacing = members.completeReplacement(nowMillis);
    if (!isReplacing && context.settings().automaticReadmission()) {
      members.reconcile(nowMillis);
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

  private Reason leadershipRefusal(long nowMillis) {
    return leader == null || leader.hasLostQuorum(nowMillis) ? Reason.NOT_LEADER : null;
  }

  private void accept(LogIndex first, int count) {
    context.outbox().add(new LogAction.ProposalAccepted(first, count, context.term()));
  }

  private void refuse(Reason reason) {
    InstanceId leaderHint = reason == Reason.NOT_LEADER && leader != null ? null : context.leader();
    context.outbox().add(new LogAction.ProposalRefused(reason, leaderHint));
  }

  private List<LogAction> drain(long nowMillis) {
    advanceElection(nowMillis);
    if (leader != null && isLeaderRemoved()) {
      stepDown(nowMillis);
    }
    return context.outbox().drain();
  }
}
