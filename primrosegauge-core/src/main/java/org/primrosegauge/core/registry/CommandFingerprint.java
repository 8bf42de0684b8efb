package org.primrosegauge.core.registry;

import org.primrosegauge.core.Revision;
import org.primrosegauge.core.registry.RegistryCommand.ApplyConfiguration;
import org.primrosegauge.core.registry.RegistryCommand.OperatorCommand;
import org.primrosegauge.core.registry.RegistryCommand.SwitchDomain;
import org.primrosegauge.core.site.DomainSwitch;

/**
 * The parts of an operator's command by which a repetition is recognized.
 *
 * @param expectedRevision revision that the configuration replaces; null for a domain switch
 * @param digest digest of the configuration; the digest of empty content for a domain switch
 * @param order the domain switch; null for a configuration
 * @since 0.1
 */
public record CommandFingerprint(
    Revision expectedRevision, ContentDigest digest, DomainSwitch order) {

  /**
   * Returns the fingerprint of a command.
   *
   * @since 0.1
   */
  public static CommandFingerprint of(OperatorCommand command) {
    if (command instanceof ApplyConfiguration apply) {
      return new CommandFingerprint(apply.expectedRevision(), apply.digest(), null);
    }
    return new CommandFingerprint(null, ContentDigest.EMPTY, ((SwitchDomain) command).order());
  }
}
