package org.primrosegauge.core.log;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.InstanceId;

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
   * Returns the number of voters that form a quorum.
   *
   * @since 0.1
   */
  public int quorum() {
    return voters().size() / 2 + 1;
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
      return replace(new Member(add.replica(), Member.Role.LEARNER));
    }
    Member member =
        find(change.instance())
            .orElseThrow(
                () ->
                    new IllegalArgumentException("not a member of the log: " + change.instance()));
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
