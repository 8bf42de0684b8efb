package org.primrosegauge.core.log;

import java.util.Objects;

/**
 * A member of the replicated log.
 *
 * @param replica instance and data folder
 * @param role whether it votes
 * @since 0.1
 */
public record Member(ReplicaId replica, Role role) {

  /** Part that a member takes. */
  public enum Role {
    /** Counts for elections and commitment. */
    VOTER,
    /** Receives the log but counts for nothing. */
    LEARNER
  }

  /** Checks that both parts are present. */
  public Member {
    Objects.requireNonNull(replica);
    Objects.requireNonNull(role);
  }

  /**
   * Tells whether the member counts for elections and commitment.
   *
   * @since 0.1
   */
  public boolean isVoter() {
    return role == Role.VOTER;
  }
}
