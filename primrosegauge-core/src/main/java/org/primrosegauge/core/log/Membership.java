package org.primrosegauge.core.log;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.log.Member.Role;

/**
 * Members of the replicated log, sorted by instance.
 *
 * @param members members, at most one per instance
 * @since 0.1
 */
public record Membership(List<Member> members) {

  /** Maximum number of voters. */
  public static final int MAX_VOTERS = 7;

  /** No members: membership of a log that has never been started. */
  public static final Membership NONE = new Membership(List.of());

  /** Copies the list, sorted by instance. */
  public Membership {
    List<Member> sorted = new ArrayList<>(members);
    sorted.sort(Comparator.comparing(member -> member.replica().instance()));
    members = List.copyOf(sorted);
  }

  /**
   * Returns the member of an instance, if there is one.
   *
   * @since 0.1
   */
  public Optional<Member> find(InstanceId instance) {
    return members.stream().filter(m -> m.replica().instance().equals(instance)).findFirst();
  }

  /**
   * Returns whether this replica, with this data folder, is a member.
   *
   * @since 0.4
   */
  public boolean contains(ReplicaId replica) {
    return members.stream().anyMatch(member -> member.replica().equals(replica));
  }

  /**
   * Returns whether this replica, with this data folder, is a voter.
   *
   * @since 0.1
   */
  public boolean isVoter(ReplicaId replica) {
    return find(replica.instance())
        .map(member -> member.isVoter() && member.replica().equals(replica))
        .orElse(false);
  }

  /**
   * Returns the replicas that are voters.
   *
   * @since 0.1
   */
  public List<ReplicaId> voters() {
    return members.stream().filter(Member::isVoter).map(Member::replica).toList();
  }

  /**
   * Returns whether a replacement of a voter has started and is not completed yet.
   *
   * @since 0.4
   */
  public boolean isReplacing() {
    return members.stream().anyMatch(member -> isTransitional(member.role()));
  }

  /**
   * Returns whether the voters that satisfy a condition form a quorum: a majority of the voters
   * and, during a replacement, a majority of the former and one of the next voters.
   *
   * @since 0.4
   */
  public boolean isQuorum(Predicate<ReplicaId> condition) {
    return isMajority(Role.OUTGOING, condition) && isMajority(Role.INCOMING, condition);
  }

  /**
   * Returns the highest value that a quorum of the voters has reached; empty if there is no voter.
   *
   * @param value value that a voter has reached
   * @since 0.4
   */
  public OptionalLong highestOfQuorum(ToLongFunction<ReplicaId> value) {
    return voters().stream()
        .mapToLong(value)
        .filter(reached -> isQuorum(voter -> value.applyAsLong(voter) >= reached))
        .max();
  }

  /**
   * Returns the membership after a change.
   *
   * @throws IllegalArgumentException if the change names an unknown member; {@link
   *     LogReplica#changeMembership} checks this first
   * @since 0.1
   */
  public Membership with(MembershipChange change) {
    if (change instanceof MembershipChange.AddLearner add) {
      return replace(new Member(add.replica(), Role.LEARNER));
    }
    Member member =
        find(change.instance())
            .orElseThrow(
                () ->
                    new IllegalArgumentException("not a member of the log: " + change.instance()));
    if (change instanceof MembershipChange.Promote) {
      return replace(new Member(member.replica(), Role.VOTER));
    }
    if (change instanceof MembershipChange.Replace replacement) {
      Member successor = find(replacement.successor()).orElseThrow();
      return replace(new Member(member.replica(), Role.OUTGOING))
          .replace(new Member(successor.replica(), Role.INCOMING));
    }
    return new Membership(without(change.instance()));
  }

  /**
   * Returns the membership after the completion of the replacements that have started: an incoming
   * member is a voter, an outgoing one a learner.
   *
   * @since 0.4
   */
  public Membership completed() {
    return new Membership(
        members.stream().map(m -> new Member(m.replica(), completed(m.role()))).toList());
  }

  private static Role completed(Role role) {
    return switch (role) {
      case VOTER, INCOMING -> Role.VOTER;
      case LEARNER, OUTGOING -> Role.LEARNER;
    };
  }

  private static boolean isTransitional(Role role) {
    return role == Role.INCOMING || role == Role.OUTGOING;
  }

  /**
   * Returns whether a condition holds for more than half of the permanent voters and those of a
   * transitional role together.
   */
  private boolean isMajority(Role transitional, Predicate<ReplicaId> condition) {
    List<ReplicaId> electorate =
        members.stream()
            .filter(member -> member.role() == Role.VOTER || member.role() == transitional)
            .map(Member::replica)
            .toList();
    return 2 * electorate.stream().filter(condition).count() > electorate.size();
  }

  private Membership replace(Member member) {
    List<Member> changed = without(member.replica().instance());
    changed.add(member);
    return new Membership(changed);
  }

  private List<Member> without(InstanceId instance) {
    List<Member> rest = new ArrayList<>(members);
    rest.removeIf(member -> member.replica().instance().equals(instance));
    return rest;
  }
}
