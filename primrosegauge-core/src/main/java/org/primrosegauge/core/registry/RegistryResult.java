package org.primrosegauge.core.registry;

import org.primrosegauge.core.Revision;
import org.primrosegauge.core.keeper.QuorumResult;
import org.primrosegauge.core.site.DomainSwitch;

/**
 * Answer to a {@link RegistryCommand}.
 *
 * @since 0.1
 */
public sealed interface RegistryResult {

  /**
   * The configuration is accepted.
   *
   * @param revision its revision
   * @param digest digest of its content
   * @since 0.1
   */
  record ConfigurationAccepted(Revision revision, ContentDigest digest) implements RegistryResult {}

  /**
   * The change names a revision that is no longer the accepted one.
   *
   * @param expected revision that the change named
   * @param accepted accepted revision
   * @param digest digest of the accepted content
   * @since 0.1
   */
  record RevisionConflict(Revision expected, Revision accepted, ContentDigest digest)
      implements RegistryResult {}

  /**
   * The request id was used before with another content.
   *
   * @param first digest of the first content
   * @since 0.1
   */
  record RequestIdReused(ContentDigest first) implements RegistryResult {}

  /**
   * The order was merged.
   *
   * @param inForce order that holds for the domain now
   * @param isWinner whether that is the order given
   * @since 0.1
   */
  record DomainSwitched(DomainSwitch inForce, boolean isWinner) implements RegistryResult {}

  /**
   * The claim's outcome.
   *
   * @param claim claim that holds for the key
   * @param isFirst whether it was made by this command, or by the same one sent before, and is not
   *     settled
   * @since 0.1
   */
  record ClaimHeld(Claim claim, boolean isFirst) implements RegistryResult {}

  /**
   * The outcome of settling a claim.
   *
   * @param isRecorded whether the command changed the claim
   * @since 0.1
   */
  record ClaimSettled(boolean isRecorded) implements RegistryResult {}

  /**
   * The outcome of a command about a keeper's office.
   *
   * @param decision outcome and the office after it
   * @since 0.1
   */
  record KeeperDecided(QuorumResult decision) implements RegistryResult {}

  /**
   * The job record's outcome.
   *
   * @param version version that is recorded now
   * @param isRecorded whether it was recorded by this command
   * @since 0.1
   */
  record JobRecorded(long version, boolean isRecorded) implements RegistryResult {}

  /**
   * A bound on what is kept is reached; nothing changed.
   *
   * @param limit name of the setting
   * @since 0.1
   */
  record LimitReached(String limit) implements RegistryResult {}
}
