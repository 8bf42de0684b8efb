package org.primrosegauge.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.RegionId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.settings.SettingFault;
import org.primrosegauge.core.settings.SettingsException;
import org.primrosegauge.core.site.Customer;
import org.primrosegauge.core.site.FailureDomain;
import org.primrosegauge.core.site.Guarantee;
import org.primrosegauge.core.site.Region;
import org.primrosegauge.core.site.Service;
import org.primrosegauge.core.site.SiteConfiguration;
import org.primrosegauge.core.site.SiteValidator;
import org.primrosegauge.wire.toml.SiteTomlWriter;

/**
 * Describes a site and prints the TOML that operators hand to the system.
 *
 * <pre>{@code
 * String toml =
 *     Site.named("lakeshore")
 *         .region("great-lakes", region -> region.failureDomain("lakes-west", domain -> domain
 *             .workers(10).inRacksOf(8).withAccelerators(8).withCores(64).withMemoryGib(130)))
 *         .customer("dealers", customer -> customer.atMostAccelerators(96))
 *         .guarantee("dealers", "lakes-west", shape -> shape.ofAccelerators(16).inOneRack())
 *         .toToml();
 * }</pre>
 *
 * <p>Collects its parts; one use by one thread.
 *
 * @since 0.1
 */
public final class Site {

  private final String name;
  private final List<Region> regions = new ArrayList<>();
  private final List<FailureDomain> domains = new ArrayList<>();
  private final List<Customer> customers = new ArrayList<>();
  private final List<Guarantee> guarantees = new ArrayList<>();
  private final List<Service> services = new ArrayList<>();

  private Site(String name) {
    this.name = name;
  }

  // Construction

  /**
   * Begins a site.
   *
   * @param name name of the site, for faults only; it does not go into the configuration
   * @since 0.1
   */
  public static Site named(String name) {
    return new Site(name);
  }

  // Main API

  /**
   * Adds a region.
   *
   * @param id id of the region
   * @param parts adds the region's failure domains
   * @throws IllegalArgumentException when an id is malformed
   * @since 0.1
   */
  public Site region(String id, UnaryOperator<RegionParts> parts) {
    RegionId region = new RegionId(id);
    regions.add(new Region(region));
    domains.addAll(parts.apply(new RegionParts(region)).domains());
    return this;
  }

  /**
   * Adds a customer without quota whose requests weigh 1.
   *
   * @throws IllegalArgumentException when the id is malformed
   * @since 0.1
   */
  public Site customer(String id) {
    return customer(id, parts -> parts);
  }

  /**
   * Adds a customer.
   *
   * @param id id of the customer
   * @param parts sets quota and weight
   * @throws IllegalArgumentException when the id is malformed
   * @since 0.1
   */
  public Site customer(String id, UnaryOperator<CustomerParts> parts) {
    customers.add(parts.apply(new CustomerParts(new CustomerId(id))).build());
    return this;
  }

  /**
   * Guarantees capacity in one failure domain to a customer.
   *
   * @param customer id of the holder
   * @param failureDomain id of the failure domain that carries it
   * @param parts sets the shape
   * @throws IllegalArgumentException when an id is malformed or the shape is not complete
   * @since 0.1
   */
  public Site guarantee(String customer, String failureDomain, UnaryOperator<ShapeParts> parts) {
    guarantees.add(
        new Guarantee(
            new CustomerId(customer),
            new FailureDomainId(failureDomain),
            parts.apply(new ShapeParts()).build()));
    return this;
  }

  /**
   * Adds a service.
   *
   * @param id id of the service
   * @param parts sets its limits
   * @throws IllegalArgumentException when the id is malformed
   * @since 0.1
   */
  public Site service(String id, UnaryOperator<ServiceParts> parts) {
    services.add(parts.apply(new ServiceParts(new ServiceId(id))).build());
    return this;
  }

  /**
   * Returns the checked configuration.
   *
   * @throws SettingsException with every fault of the site
   * @since 0.1
   */
  public SiteConfiguration build() throws SettingsException {
    SiteConfiguration site =
        new SiteConfiguration(regions, domains, customers, guarantees, services);
    List<SettingFault> faults =
        SiteValidator.validate(site).stream()
            .map(fault -> fault.at("site " + name + ", '" + fault.path().entry() + "'"))
            .toList();
    if (!faults.isEmpty()) {
      throw new SettingsException("site " + name, faults);
    }
    return site;
  }

  /**
   * Returns the checked configuration as TOML.
   *
   * @throws SettingsException with every fault of the site
   * @since 0.1
   */
  public String toToml() throws SettingsException {
    return SiteTomlWriter.write(build());
  }
}
