package org.primrosegauge.core.log;

import org.primrosegauge.core.InstanceId;

/**
 * One change of the membership. Each adds or removes at most one voter, so that every quorum before
 * the change meets every quorum after it.
 *
 * @since 0.1
 */
public sealed interface MembershipChange {

  /**
   * Returns the instance that the change concerns.
   *
   * @since 0.1
   */
  InstanceId instance();

  /**
   * Admits a replica as a learner. A member of the same instance with another data folder is
   * replaced by it.
   *
   * @param replica replica to admit
   * @since 0.1
   */
  record AddLearner(ReplicaId replica) implements MembershipChange {
    @Override
    public InstanceId instance() {
      return replica.instance();
    }
  }

  /**
   * Makes a learner that has caught up a voter.
   *
   * @param instance instance of the learner
   * @since 0.1
   */
  record Promote(InstanceId instance) implements MembershipChange {}

  /**
   * Removes a member.
   *
   * @param instance instance of the member
   * @since 0.1
   */
  record Remove(InstanceId instance) implements MembershipChange {}
}
