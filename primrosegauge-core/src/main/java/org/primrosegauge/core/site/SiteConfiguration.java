package org.primrosegauge.core.site;

import java.util.Comparator;
import java.util.List;

/**
 * The whole configuration of a site. Immutable; lists are sorted by id so that equal configurations
 * are equal records. Entries of equal id keep their order.
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

  /** The configuration that a new site starts from. */
  public static final SiteConfiguration EMPTY =
      new SiteConfiguration(List.of(), List.of(), List.of(), List.of(), List.of());

  /** Copies and sorts the lists. */
  public SiteConfiguration {
    regions = sorted(regions, Comparator.comparing(Region::id));
    failureDomains = sorted(failureDomains, Comparator.comparing(FailureDomain::id));
    customers = sorted(customers, Comparator.comparing(Customer::id));
    guarantees = sorted(guarantees, GUARANTEE_ORDER);
    services = sorted(services, Comparator.comparing(Service::id));
  }

  /**
   * Returns a copy with other customers.
   *
   * @since 0.1
   */
  public SiteConfiguration withCustomers(List<Customer> newCustomers) {
    return new SiteConfiguration(regions, failureDomains, newCustomers, guarantees, services);
  }

  /**
   * Returns a copy with other guarantees.
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
