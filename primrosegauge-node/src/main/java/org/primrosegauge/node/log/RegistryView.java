package org.primrosegauge.node.log;

import java.util.List;
import org.primrosegauge.core.keeper.KeeperOffice;
import org.primrosegauge.core.registry.AcceptedConfiguration;
import org.primrosegauge.core.site.DomainSwitch;

/**
 * What an instance knows of the registry. Immutable.
 *
 * @param version position of the log that it stands for; it never goes back on an instance
 * @param configuration accepted configuration
 * @param switches orders about failure domains
 * @param offices keepers' offices
 * @since 0.1
 */
public record RegistryView(
    long version,
    AcceptedConfiguration configuration,
    List<DomainSwitch> switches,
    List<KeeperOffice> offices) {

  /** View of an instance that has just started. */
  public static final RegistryView NONE =
      new RegistryView(0, AcceptedConfiguration.NONE, List.of(), List.of());

  /** Copies the lists. */
  public RegistryView {
    switches = List.copyOf(switches);
    offices = List.copyOf(offices);
  }

  /**
   * Tells whether this view differs from another at most by its version.
   *
   * @since 0.1
   */
  public boolean equalsIgnoringVersion(RegistryView other) {
    return configuration.revision().equals(other.configuration.revision())
        && switches.equals(other.switches)
        && offices.equals(other.offices);
  }
}
