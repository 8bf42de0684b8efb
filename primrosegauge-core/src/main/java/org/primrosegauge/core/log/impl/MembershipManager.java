package org.primrosegauge.core.log.impl;

import java.util.Optional;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.log.LogAction.ProposalRefused.Reason;
import org.primrosegauge.core.log.Member;
import org.primrosegauge.core.log.Membership;
import org.primrosegauge.core.log.MembershipChange;
import org.primrosegauge.core.log.ReplicaId;

/**
 * Changes of the membership by a leader: checks those that are proposed, completes replacements,
 * and keeps the intended voters where instances are lost or return.
 *
 * <p>Not thread-safe. Valid for the term of its leader.
 *
 * @since 0.4
 */
public final class MembershipManager {

  /** Multiple of the time after which a voter is replaced that a learner may be unresponsive. */
  private static final int LEARNER_LOSS_FACTOR = 48;

  private final ReplicaContext context;
  private final Leader leader;

  /** Creates the manager of a term. */
  public MembershipManager(ReplicaContext context, Leader leader) {
    this.context = context;
    this.leader = leader;
  }

  /** Returns why a change cannot be made now; null if it can. */
  public Reason refusal(MembershipChange change, long nowMillis) {
    Membership members = context.membership();
    if (isChanging() || members.isReplacing()) {
      return Reason.CHANGE_IN_PROGRESS;
    }
    if (!namesMembers(change)) {
      return Reason.INVALID_CHANGE;
    }
    Membership changed = members.with(change);
    int voters = changed.completed().voters().size();
    if (voters == 0 || voters > Membership.MAX_VOTERS) {
      return Reason.INVALID_CHANGE;
    }
    boolean isBehind =
        promoted(change)
            .flatMap(members::find)
            .map(learner -> !leader.isCaughtUp(learner, nowMillis))
            .orElse(false);
    if (isBehind) {
      return Reason.NOT_CAUGHT_UP;
    }
    return leader.hasQuorumIn(changed, nowMillis) ? null : Reason.QUORUM_AT_RISK;
  }

  /**
   * Completes a replacement whose start is committed.
   *
   * @return whether there was one
   */
  public boolean completeReplacement(long nowMillis) {
    if (isChanging() || !context.membership().isReplacing()) {
      return false;
    }
    leader.append(context.membership().completed(), nowMillis);
    return true;
  }

  /**
   * Makes at most one change that brings the membership closer to the intended one. Instances that
   * are back and learners go before unresponsive members, so that no voter is replaced while others
   * are missing.
   */
  public void reconcile(long nowMillis) {
    boolean isChanged = changeFirst(this::readmission, nowMillis);
    if (!isChanged && targetVoters() > 0) {
      changeFirst(this::changeForUnresponsive, nowMillis);
    }
  }

  /** Makes the first change for a member that is not refused; returns whether there was one. */
  private boolean changeFirst(ChangeRule rule, long nowMillis) {
    for (Member member : context.membership().members()) {
      MembershipChange change = rule.changeFor(member, nowMillis);
      if (change != null && refusal(change, nowMillis) == null) {
        leader.append(context.membership().with(change), nowMillis);
        return true;
      }
    }
    return false;
  }

  /** Returns the change that a member needs now; null if it needs none. */
  @FunctionalInterface
  private interface ChangeRule {
    MembershipChange changeFor(Member member, long nowMillis);
  }

  /** Returns whether there is an uncommitted change, or may be one of an earlier term. */
  private boolean isChanging() {
    return !leader.hasCommittedInTerm() || context.committed() < context.log().membershipIndex();
  }

  private boolean namesMembers(MembershipChange change) {
    Membership members = context.membership();
    if (change instanceof MembershipChange.AddLearner) {
      return true;
    }
    Optional<Member> changed = members.find(change.instance());
    if (change instanceof MembershipChange.Replace replacement) {
      return changed.map(Member::isVoter).orElse(false)
          && members
              .find(replacement.successor())
              .map(successor -> !successor.isVoter())
              .orElse(false);
    }
    return changed.isPresent();
  }

  /** Returns the instance that a change makes a voter. */
  private static Optional<InstanceId> promoted(MembershipChange change) {
    if (change instanceof MembershipChange.Replace replacement) {
      return Optional.of(replacement.successor());
    }
    return change instanceof MembershipChange.Promote promotion
        ? Optional.of(promotion.instance())
        : Optional.empty();
  }

  private MembershipChange readmission(Member member, long nowMillis) {
    if (member.replica().equals(context.self())) {
      return null;
    }
    ReplicaId replacement = leader.replacementOf(member, nowMillis);
    if (replacement != null) {
      return new MembershipChange.AddLearner(replacement);
    }
    return !member.isVoter() && isWantedAsVoter(member)
        ? new MembershipChange.Promote(member.replica().instance())
        : null;
  }

  private boolean isWantedAsVoter(Member member) {
    return targetVoters() > 0
        ? context.membership().voters().size() < targetVoters()
        : context.settings().initialVoters().contains(member.replica().instance());
  }

  /**
   * Returns the change for a member that may be unresponsive. A voter that is needed is replaced in
   * one step: it may come back with its disk, while one that holds the log may be lost, so there
   * must be neither fewer voters nor a quorum that needs more of them meanwhile.
   */
  private MembershipChange changeForUnresponsive(Member member, long nowMillis) {
    InstanceId instance = member.replica().instance();
    int loss = context.settings().voterLossMillis();
    if (!member.isVoter()) {
      return leader.isUnresponsive(member, LEARNER_LOSS_FACTOR * loss, nowMillis)
          ? new MembershipChange.Remove(instance)
          : null;
    }
    if (!leader.isUnresponsive(member, loss, nowMillis)) {
      return null;
    }
    int voters = context.membership().voters().size();
    if (voters > targetVoters()) {
      return new MembershipChange.Remove(instance);
    }
    return voters < targetVoters()
        ? null
        : readyLearner(nowMillis)
            .map(learner -> new MembershipChange.Replace(instance, learner.replica().instance()))
            .orElse(null);
  }

  private Optional<Member> readyLearner(long nowMillis) {
    return context.membership().members().stream()
        .filter(member -> !member.isVoter() && leader.isCaughtUp(member, nowMillis))
        .findFirst();
  }

  private int targetVoters() {
    return context.settings().targetVoters();
  }
}
