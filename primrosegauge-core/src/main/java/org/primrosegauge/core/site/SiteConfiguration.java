package org.primrosegauge.core.site;

import java.util.Comparator;
import java.util.List;

/**
 * The complete configuration of a site. Immutable. Lists are sorted by id, so that configurations
 * with the same entries are equal; entries with the same id keep their relative order.
 *
 * @since 0.1
 */
public record SiteConfiguration(
    List<Region> regions,
    List<FailureDomain> failureDomains,
    List<Customer> customers,
    List<Guarantee> guarantees,
    List<Service> services) {

  private static final Comparator<Guarantee> GUARANTEE_ORDER =
      Comparator.comparing(Guarantee::customer)
          .thenComparing(Guarantee::domain)
          .thenComparing(guarantee -> guarantee.shape().adjacency())
          .thenComparing(guarantee -> guarantee.shape().acceleratorsPerBlock());

  /** Empty configuration, the initial state of a new site. */
  public static final SiteConfiguration EMPTY =
      new SiteConfiguration(List.of(), List.of(), List.of(), List.of(), List.of());

  /** Creates sorted, immutable copies of the lists. */
  public SiteConfiguration {
    regions = sorted(regions, Comparator.comparing(Region::id));
    failureDomains = sorted(failureDomains, Comparator.comparing(FailureDomain::id));
    customers = sorted(customers, Comparator.comparing(Customer::id));
    guarantees = sorted(guarantees, GUARANTEE_ORDER);
    services = sorted(services, Comparator.comparing(Service::id));
  }

  /**
   * Returns a copy with the given customers.
   *
   * @since 0.1
   */
  public SiteConfiguration withCustomers(List<Customer> newCustomers) {
    return new SiteConfiguration(regions, failureDomains, newCustomers, guarantees, services);
  }

  /**
   * Returns a copy with the given guarantees.
   *
   * @since 0.1
   */
  public SiteConfiguration withGuarantees(List<Guarantee> newGuarantees) {
    return new SiteConfiguration(regions, failureDomains, customers, newGuarantees, services);
  }

  private static <T> List<T> sorted(List<T> entries, Comparator<T> order) {
    return entries.stream().sorted(order).toList();
  }
}
