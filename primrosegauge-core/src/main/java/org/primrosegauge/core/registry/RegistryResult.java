package org.primrosegauge.core.registry;

import org.primrosegauge.core.Revision;
import org.primrosegauge.core.keeper.QuorumResult;
import org.primrosegauge.core.site.DomainSwitch;

/**
 * Result of a {@link RegistryCommand}.
 *
 * @since 0.1
 */
public sealed interface RegistryResult {

  /**
   * The configuration was accepted.
   *
   * @param revision revision of the accepted configuration
   * @param digest digest of its content
   * @since 0.1
   */
  record ConfigurationAccepted(Revision revision, ContentDigest digest) implements RegistryResult {}

  /**
   * The command names a revision that is not the accepted one; nothing changed.
   *
   * @param expected revision that the command named
   * @param accepted currently accepted revision
   * @param digest digest of the accepted content
   * @since 0.1
   */
  record RevisionConflict(Revision expected, Revision accepted, ContentDigest digest)
      implements RegistryResult {}

  /**
   * The request id was used before for a different command; nothing changed.
   *
   * @param first content digest of the first command
   * @since 0.1
   */
  record RequestIdReused(ContentDigest first) implements RegistryResult {}

  /**
   * The domain switch was merged.
   *
   * @param inForce switch that is in force for the domain after the merge
   * @param isWinner whether that equals the submitted switch
   * @since 0.1
   */
  record DomainSwitched(DomainSwitch inForce, boolean isWinner) implements RegistryResult {}

  /**
   * The result of a claim.
   *
   * @param claim claim that now holds the key
   * @param isFirst whether the claim was created by this command or by an earlier identical one,
   *     and is not settled
   * @since 0.1
   */
  record ClaimHeld(Claim claim, boolean isFirst) implements RegistryResult {}

  /**
   * The result of settling a claim.
   *
   * @param isRecorded whether the command changed the claim
   * @since 0.1
   */
  record ClaimSettled(boolean isRecorded) implements RegistryResult {}

  /**
   * The result of a command about the leadership of a failure domain.
   *
   * @param decision outcome, and the leadership after it
   * @since 0.1
   */
  record KeeperDecided(QuorumResult decision) implements RegistryResult {}

  /**
   * The result of recording a job's state.
   *
   * @param version version on record after the command
   * @param isRecorded whether this command recorded it
   * @since 0.1
   */
  record JobRecorded(long version, boolean isRecorded) implements RegistryResult {}

  /**
   * A limit on the number of records is reached; nothing changed.
   *
   * @param limit name of the setting that defines the limit
   * @since 0.1
   */
  record LimitReached(String limit) implements RegistryResult {}
}
