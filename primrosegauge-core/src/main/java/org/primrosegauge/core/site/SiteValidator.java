package org.primrosegauge.core.site;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.RegionId;
import org.primrosegauge.core.settings.SettingFault;
import org.primrosegauge.core.site.SitePath.Section;

/**
 * Validates a complete site configuration and collects all errors.
 *
 * <p>An object validates one configuration in one thread; {@link #validate} creates a new one per
 * call.
 *
 * @since 0.1
 */
public final class SiteValidator {

  private final SiteConfiguration site;
  private final List<SiteFault> faults = new ArrayList<>();
  private final Map<FailureDomainId, FailureDomain> domains = new HashMap<>();
  private final Map<CustomerId, Customer> customers = new HashMap<>();
  private final Set<RegionId> regions;

  private SiteValidator(SiteConfiguration site) {
    this.site = site;
    this.regions = site.regions().stream().map(Region::id).collect(Collectors.toSet());
    site.failureDomains().forEach(domain -> domains.putIfAbsent(domain.id(), domain));
    site.customers().forEach(customer -> customers.putIfAbsent(customer.id(), customer));
  }

  /**
   * Returns all validation errors of a configuration; empty if it is valid.
   *
   * @since 0.1
   */
  public static List<SiteFault> validate(SiteConfiguration site) {
    SiteValidator validator = new SiteValidator(site);
    validator.checkDuplicates();
    validator.checkRegions();
    site.failureDomains().forEach(validator::checkDomain);
    site.customers().forEach(validator::checkCustomer);
    site.services().forEach(validator::checkService);
    site.guarantees().forEach(validator::checkGuarantee);
    validator.checkQuotas();
    validator.checkCapacity();
    return List.copyOf(validator.faults);
  }

  private void checkDuplicates() {
    checkUnique(Section.REGIONS, site.regions(), region -> region.id().value());
    checkUnique(Section.FAILURE_DOMAINS, site.failureDomains(), domain -> domain.id().value());
    checkUnique(Section.CUSTOMERS, site.customers(), customer -> customer.id().value());
    checkUnique(Section.SERVICES, site.services(), service -> service.id().value());
    checkUnique(Section.GUARANTEES, site.guarantees(), SitePath::guaranteeName);
  }

  private <T> void checkUnique(Section section, List<T> entries, Function<T, String> nameOf) {
    Map<String, Integer> occurrences = new HashMap<>();
    for (T entry : entries) {
      String name = nameOf.apply(entry);
      int occurrence = occurrences.merge(name, 1, Integer::sum) - 1;
      if (occurrence > 0) {
        boolean guarantee = section == Section.GUARANTEES;
        faults.add(
            new SiteFault(
                SettingFault.Kind.DUPLICATE,
                new SitePath(section, name, occurrence, guarantee ? "blocks" : "id"),
                "'" + name + "' is declared more than once",
                guarantee
                    ? "add up the blocks in one entry"
                    : "remove or rename one of the entries"));
      }
    }
  }

  private void checkRegions() {
    Set<RegionId> used =
        site.failureDomains().stream().map(FailureDomain::region).collect(Collectors.toSet());
    for (Region region : site.regions()) {
      if (!used.contains(region.id())) {
        addFault(
            SettingFault.Kind.CLASH,
            pathOf(Section.REGIONS, region.id().value(), "id"),
            "region '" + region.id() + "' has no failure domain",
            "add a failure domain with this region, or remove the region");
      }
    }
  }

  private void checkDomain(FailureDomain domain) {
    String entry = domain.id().value();
    if (!regions.contains(domain.region())) {
      addFault(
          SettingFault.Kind.UNKNOWN_REFERENCE,
          pathOf(Section.FAILURE_DOMAINS, entry, "region"),
          "no region '" + domain.region() + "'",
          "use one of " + regions + ", or add the region");
    }
    Section section = Section.FAILURE_DOMAINS;
    checkRange(section, entry, "workers", domain.workers(), 1, SiteLimits.MAX_WORKERS);
    checkRange(
        section, entry, "workers-per-rack", domain.workersPerRack(), 1, SiteLimits.MAX_WORKERS);
    checkRange(
        section,
        entry,
        "accelerators-per-worker",
        domain.acceleratorsPerWorker(),
        1,
        SiteLimits.MAX_ACCELERATORS_PER_WORKER);
    checkRange(
        section,
        entry,
        "cores-per-worker",
        domain.coresPerWorker(),
        1,
        SiteLimits.MAX_CORES_PER_WORKER);
    checkRange(
        section,
        entry,
        "memory-per-worker",
        domain.memoryMibPerWorker(),
        1,
        SiteLimits.MAX_MEMORY_MIB_PER_WORKER);
  }

  private void checkCustomer(Customer customer) {
    String entry = customer.id().value();
    checkRange(
        Section.CUSTOMERS,
        entry,
        "quota-accelerators",
        customer.quotaAccelerators(),
        0,
        SiteLimits.MAX_ACCELERATORS);
    checkRange(
        Section.CUSTOMERS,
        entry,
        "request-share",
        customer.requestShare(),
        1,
        SiteLimits.MAX_REQUEST_SHARE);
  }

  private void checkService(Service service) {
    String entry = service.id().value();
    Section section = Section.SERVICES;
    checkRange(section, entry, "max-body", service.maxBodyBytes(), 1, SiteLimits.MAX_BODY_BYTES);
    checkRange(
        section, entry, "timeout", service.timeoutMillis(), 1, SiteLimits.MAX_TIMEOUT_MILLIS);
    checkRange(section, entry, "max-queued", service.maxQueued(), 1, SiteLimits.MAX_QUEUED);
    checkRange(
        section, entry, "retry-percent", service.retryPercent(), 0, SiteLimits.MAX_RETRY_PERCENT);
    checkRange(
        section,
        entry,
        "executor-slots",
        service.executorSlots(),
        1,
        SiteLimits.MAX_EXECUTOR_SLOTS);
    checkRange(
        section,
        entry,
        "executor-connections",
        service.executorConnections(),
        1,
        SiteLimits.MAX_EXECUTOR_CONNECTIONS);
  }

  private void checkGuarantee(Guarantee guarantee) {
    String entry = SitePath.guaranteeName(guarantee);
    if (!customers.containsKey(guarantee.customer())) {
      addFault(
          SettingFault.Kind.UNKNOWN_REFERENCE,
          pathOf(Section.GUARANTEES, entry, "customer"),
          "no customer '" + guarantee.customer() + "'",
          "add the customer, or remove the guarantee");
    }
    FailureDomain domain = domains.get(guarantee.domain());
    if (domain == null) {
      addFault(
          SettingFault.Kind.UNKNOWN_REFERENCE,
          pathOf(Section.GUARANTEES, entry, "failure-domain"),
          "no failure domain '" + guarantee.domain() + "'",
          "use a failure domain of this site, or add it");
    } else {
      checkBlockSize(entry, guarantee.shape(), domain);
    }
  }

  private void checkBlockSize(String entry, BlockShape shape, FailureDomain domain) {
    long largest =
        switch (shape.adjacency()) {
          case WORKER -> domain.acceleratorsPerWorker();
          case RACK ->
              (long) domain.acceleratorsPerWorker()
                  * Math.min(domain.workersPerRack(), domain.workers());
          case DOMAIN -> (long) domain.acceleratorsPerWorker() * domain.workers();
        };
    if (shape.acceleratorsPerBlock() > largest) {
      addFault(
          SettingFault.Kind.OVER_CAPACITY,
          pathOf(Section.GUARANTEES, entry, "accelerators-per-block"),
          "a block of "
              + shape.acceleratorsPerBlock()
              + " does not fit; the largest in '"
              + domain.id()
              + "' is "
              + largest,
          "make the blocks smaller, or widen the adjacency");
    }
  }

  private void checkQuotas() {
    Map<CustomerId, Long> guaranteed = new LinkedHashMap<>();
    site.guarantees()
        .forEach(
            guarantee ->
                guaranteed.merge(
                    guarantee.customer(),
                    ShapePacking.totalAccelerators(guarantee.shape()),
                    Long::sum));
    for (Customer customer : site.customers()) {
      long sum = guaranteed.getOrDefault(customer.id(), 0L);
      if (customer.quotaAccelerators() > 0 && sum > customer.quotaAccelerators()) {
        addFault(
            SettingFault.Kind.CLASH,
            pathOf(Section.CUSTOMERS, customer.id().value(), "quota-accelerators"),
            "quota of "
                + customer.quotaAccelerators()
                + " is below the guaranteed "
                + sum
                + " accelerators",
            "raise the quota to " + sum + " or more, or lower the guarantees");
      }
    }
  }

  private void checkCapacity() {
    Map<FailureDomainId, List<Guarantee>> guaranteesByDomain =
        site.guarantees().stream()
            .collect(
                Collectors.groupingBy(Guarantee::domain, LinkedHashMap::new, Collectors.toList()));
    guaranteesByDomain.forEach(
        (id, guarantees) -> {
          FailureDomain domain = domains.get(id);
          if (domain != null && hasCapacity(domain)) {
            checkPacking(domain, guarantees);
          }
        });
  }

  private void checkPacking(FailureDomain domain, List<Guarantee> guarantees) {
    List<BlockShape> shapes = new ArrayList<>();
    for (Guarantee guarantee : guarantees) {
      shapes.add(guarantee.shape());
      if (!ShapePacking.fits(domain, shapes)) {
        addFault(
            SettingFault.Kind.OVER_CAPACITY,
            pathOf(Section.GUARANTEES, SitePath.guaranteeName(guarantee), "blocks"),
            "the guarantees in '"
                + domain.id()
                + "' up to this entry cannot be packed into "
                + domain.workers()
                + " workers of "
                + domain.acceleratorsPerWorker()
                + " accelerators, "
                + domain.workersPerRack()
                + " workers per rack",
            "lower the blocks, or place the guarantee in another failure domain");
        return;
      }
    }
  }

  private static boolean hasCapacity(FailureDomain domain) {
    return domain.workers() > 0
        && domain.workersPerRack() > 0
        && domain.acceleratorsPerWorker() > 0;
  }

  private void checkRange(
      Section section, String entry, String key, long number, long minimum, long maximum) {
    if (number < minimum || number > maximum) {
      addFault(
          SettingFault.Kind.OUT_OF_RANGE,
          pathOf(section, entry, key),
          number + " is out of range",
          "use " + minimum + " to " + maximum);
    }
  }

  private void addFault(SettingFault.Kind kind, SitePath path, String summary, String remedy) {
    faults.add(new SiteFault(kind, path, summary, remedy));
  }

  private static SitePath pathOf(Section section, String entry, String key) {
    return new SitePath(section, entry, 0, key);
  }
}
