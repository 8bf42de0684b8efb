package org.primrosegauge.core.log;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.InstanceId;

/**
 * Members of the replicated log, sorted by instance.
 *
 * @param members at most one for each instance
 * @since 0.1
 */
public record Membership(List<Member> members) {

  /** Largest number of voters. */
  public static final int MAX_VOTERS = 7;

  /** No member yet: a log that was never started. */
  public static final Membership NONE = new Membership(List.of());

  /** Sorts and copies the list. */
  public Membership {
    List<Member> sorted = new ArrayList<>(members);
    sorted.sort(Comparator.comparing(member -> member.replica().instance()));
    members = List.copyOf(sorted);
  }

  /**
   * Returns the member of an instance, if it has one.
   *
   * @since 0.1
   */
  public Optional<Member> find(InstanceId instance) {
    return members.stream().filter(m -> m.replica().instance().equals(instance)).findFirst();
  }

  /**
   * Tells whether exactly this replica votes.
   *
   * @since 0.1
   */
  public boolean isVoter(ReplicaId replica) {
    return find(replica.instance())
        .map(member -> member.isVoter() && member.replica().equals(replica))
        .orElse(false);
  }

  /**
   * Returns the replicas that vote.
   *
   * @since 0.1
   */
  public List<ReplicaId> voters() {
    return members.stream().filter(Member::isVoter).map(Member::replica).toList();
  }

  /**
   * Returns the number of voters that decide.
   *
   * @since 0.1
   */
  public int quorum() {
    return voters().size() / 2 + 1;
  }

  /**
   * Returns the membership after a change.
   *
   * @throws IllegalArgumentException when the change names an unknown member or leaves no voter;
   *     {@link LogReplica#changeMembership} tests this first
   * @since 0.1
   */
  public Membership with(MembershipChange change) {
    if (change instanceof MembershipChange.AddLearner add) {
      return replace(new Member(add.replica(), Member.Role.LEARNER));
    }
    Member member =
        find(change.instance())
            .orElseThrow(() -> new IllegalArgumentException("no member " + change.instance()));
    if (change instanceof MembershipChange.Promote) {
      return replace(new Member(member.replica(), Member.Role.VOTER));
    }
    return new Membership(without(change.instance()));
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
