package org.primrosegauge.core.log;

import java.util.Objects;

/**
 * Member of the replicated log.
 *
 * @param replica instance and data folder
 * @param role role of the replica
 * @since 0.1
 */
public record Member(ReplicaId replica, Role role) {

  /** Role of a member. */
  public enum Role {
    /** Votes in elections and counts towards the commit quorum. */
    VOTER,
    /** Receives the log, but neither votes nor counts towards the commit quorum. */
    LEARNER,
    /** Learner that takes the place of an outgoing voter: counts among the next voters only. */
    INCOMING,
    /** Voter that an incoming one replaces: counts among the former voters only. */
    OUTGOING
  }

  /** Rejects missing components. */
  public Member {
    Objects.requireNonNull(replica);
    Objects.requireNonNull(role);
  }

  /**
   * Returns whether the member votes in elections and counts towards the commit quorum, be it among
   * the former or the next voters of a replacement.
   *
   * @since 0.1
   */
  public boolean isVoter() {
    return role != Role.LEARNER;
  }

  @Override
  public String toString() {
    return replica + " " + role;
  }
}
