package org.primrosegauge.core.site;

import java.util.List;

/**
 * The whole configuration of a site. Immutable; lists are sorted by id so that equal configurations
 * are equal records.
 *
 * @since 0.1
 */
public record SiteConfiguration(
    List<Region> regions,
    List<FailureDomain> failureDomains,
    List<Customer> customers,
    List<Guarantee> guarantees,
    List<Service> services) {

  /** The configuration that a new site starts from. */
  public static final SiteConfiguration EMPTY =
      new SiteConfiguration(List.of(), List.of(), List.of(), List.of(), List.of());

  /** Copies the lists. */
  public SiteConfiguration {
    regions = List.copyOf(regions);
    failureDomains = List.copyOf(failureDomains);
    customers = List.copyOf(customers);
    guarantees = List.copyOf(guarantees);
    services = List.copyOf(services);
  }
}
