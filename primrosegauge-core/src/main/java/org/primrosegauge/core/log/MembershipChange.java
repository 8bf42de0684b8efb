package org.primrosegauge.core.log;

import org.primrosegauge.core.InstanceId;

/**
 * Single change of the membership. A change adds or removes at most one voter, so that every quorum
 * before the change overlaps every quorum after it; a replacement does both in two steps, between
 * which a quorum of the former and one of the next voters are needed.
 *
 * @since 0.1
 */
public sealed interface MembershipChange {

  /**
   * Returns the instance that the change applies to.
   *
   * @since 0.1
   */
  InstanceId instance();

  /**
   * Adds a replica as a learner. It replaces a member of the same instance that has another data
   * folder.
   *
   * @param replica replica to add
   * @since 0.1
   */
  record AddLearner(ReplicaId replica) implements MembershipChange {
    @Override
    public InstanceId instance() {
      return replica.instance();
    }
  }

  /**
   * Promotes a learner that has caught up to a voter.
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

  /**
   * Starts to replace a voter by a learner that has caught up. The leader completes the replacement
   * once this change is committed; the former voter stays as a learner.
   *
   * @param instance instance of the voter that is replaced
   * @param successor instance of the learner that replaces it
   * @since 0.4
   */
  record Replace(InstanceId instance, InstanceId successor) implements MembershipChange {}
}
