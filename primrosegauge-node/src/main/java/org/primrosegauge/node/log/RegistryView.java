package org.primrosegauge.node.log;

import java.util.List;
import org.primrosegauge.core.keeper.KeeperOffice;
import org.primrosegauge.core.registry.AcceptedConfiguration;
import org.primrosegauge.core.site.DomainSwitch;

/**
 * Content of the registry as known to an instance. Immutable.
 *
 * @param version log index that the view corresponds to; it never decreases on an instance
 * @param configuration accepted configuration
 * @param switches operator switches of failure domains
 * @param offices current keeper and keeper term of each failure domain
 * @since 0.1
 */
public record RegistryView(
    long version,
    AcceptedConfiguration configuration,
    List<DomainSwitch> switches,
    List<KeeperOffice> offices) {

  /** View of an instance that has not received any yet. */
  public static final RegistryView NONE =
      new RegistryView(0, AcceptedConfiguration.NONE, List.of(), List.of());

  /** Copies the lists. */
  public RegistryView {
    switches = List.copyOf(switches);
    offices = List.copyOf(offices);
  }

  /**
   * Returns whether this view equals another one in everything but the version.
   *
   * @since 0.1
   */
  public boolean equalsIgnoringVersion(RegistryView other) {
    return configuration.revision().equals(other.configuration.revision())
        && switches.equals(other.switches)
        && offices.equals(other.offices);
  }
}
