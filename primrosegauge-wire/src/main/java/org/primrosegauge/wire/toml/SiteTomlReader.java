package org.primrosegauge.wire.toml;

import static org.primrosegauge.core.settings.Quantities.BYTES_PER_MIB;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.RegionId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.settings.SettingFault;
import org.primrosegauge.core.settings.SettingsException;
import org.primrosegauge.core.site.Adjacency;
import org.primrosegauge.core.site.BlockShape;
import org.primrosegauge.core.site.Customer;
import org.primrosegauge.core.site.FailureDomain;
import org.primrosegauge.core.site.Guarantee;
import org.primrosegauge.core.site.Region;
import org.primrosegauge.core.site.Service;
import org.primrosegauge.core.site.SiteConfiguration;
import org.primrosegauge.core.site.SiteFault;
import org.primrosegauge.core.site.SitePath;
import org.primrosegauge.core.site.SitePath.Section;
import org.primrosegauge.core.site.SiteValidator;

/**
 * Reads a site configuration from TOML and checks it whole.
 *
 * <p>One use by one thread; {@link #read} makes its own.
 *
 * @since 0.1
 */
public final class SiteTomlReader {

  private final TomlFile file;
  private final Map<String, List<TomlSection>> sections = new HashMap<>();
  private boolean leftOut;

  private SiteTomlReader(TomlFile file) {
    this.file = file;
  }

  /**
   * Reads and checks a configuration.
   *
   * @param name name of the file, for the faults
   * @param text TOML
   * @throws SettingsException with every fault that was found
   * @since 0.1
   */
  public static SiteConfiguration read(String name, String text) throws SettingsException {
    return new SiteTomlReader(TomlFile.parse(name, text, SiteKeys.ALL)).read();
  }

  private SiteConfiguration read() throws SettingsException {
    SiteConfiguration site =
        new SiteConfiguration(
            entries(Section.REGIONS, SiteTomlReader::region, region -> region.id().value()),
            entries(Section.FAILURE_DOMAINS, this::domain, domain -> domain.id().value()),
            entries(Section.CUSTOMERS, SiteTomlReader::customer, holder -> holder.id().value()),
            entries(Section.GUARANTEES, SiteTomlReader::guarantee, SitePath::guaranteeName),
            entries(Section.SERVICES, SiteTomlReader::service, service -> service.id().value()));
    boolean clean = !file.hasFaults();
    for (SiteFault fault : SiteValidator.validate(site)) {
      if (clean || isIndependent(fault.kind())) {
        report(fault);
      }
    }
    file.finish();
    return site;
  }

  private <T> List<T> entries(
      Section section, Function<TomlSection, Optional<T>> mapper, Function<T, String> nameOf) {
    List<T> entries = new ArrayList<>();
    for (TomlSection content : file.entries(section.label())) {
      Optional<T> entry = mapper.apply(content);
      leftOut |= entry.isEmpty();
      entry.ifPresent(
          value -> {
            entries.add(value);
            sections
                .computeIfAbsent(section + nameOf.apply(value), key -> new ArrayList<>())
                .add(content);
          });
    }
    return entries;
  }

  /** Tells whether replaced values and left out entries cannot have caused a fault. */
  private boolean isIndependent(SettingFault.Kind kind) {
    return switch (kind) {
      case DUPLICATE -> true;
      case UNKNOWN_REFERENCE -> !leftOut && !file.hasSyntaxFaults();
      default -> false;
    };
  }

  private void report(SiteFault fault) {
    SitePath path = fault.path();
    TomlSection section = sections.get(path.section() + path.entry()).get(path.occurrence());
    file.report(
        section.lineOf(path.key()),
        fault.kind(),
        path.qualifiedKey(),
        fault.summary(),
        fault.remedy());
  }

  private static Optional<Region> region(TomlSection section) {
    return section.id(SiteKeys.REGION_ID).map(id -> new Region(new RegionId(id)));
  }

  private Optional<FailureDomain> domain(TomlSection section) {
    Optional<String> id = section.id(SiteKeys.DOMAIN_ID);
    Optional<String> region = section.id(SiteKeys.DOMAIN_REGION);
    int workers = (int) section.number(SiteKeys.WORKERS);
    int workersPerRack = (int) section.number(SiteKeys.WORKERS_PER_RACK);
    int accelerators = (int) section.number(SiteKeys.ACCELERATORS_PER_WORKER);
    int cores = (int) section.number(SiteKeys.CORES_PER_WORKER);
    long memory = section.bytes(SiteKeys.MEMORY_PER_WORKER);
    if (memory % BYTES_PER_MIB != 0) {
      section.report(
          SiteKeys.MEMORY_PER_WORKER,
          SettingFault.Kind.OUT_OF_RANGE,
          "not a whole number of MiB",
          "write it in MiB or GiB");
    }
    if (id.isEmpty() || region.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new FailureDomain(
            new FailureDomainId(id.get()),
            new RegionId(region.get()),
            workers,
            workersPerRack,
            accelerators,
            cores,
            memory / BYTES_PER_MIB));
  }

  private static Optional<Customer> customer(TomlSection section) {
    Optional<String> id = section.id(SiteKeys.CUSTOMER_ID);
    int quota = (int) section.number(SiteKeys.QUOTA);
    int share = (int) section.number(SiteKeys.REQUEST_SHARE);
    return id.map(value -> new Customer(new CustomerId(value), quota, share));
  }

  private static Optional<Guarantee> guarantee(TomlSection section) {
    Optional<String> customer = section.id(SiteKeys.GUARANTEE_CUSTOMER);
    Optional<String> domain = section.id(SiteKeys.GUARANTEE_DOMAIN);
    String adjacency = section.choice(SiteKeys.ADJACENCY);
    BlockShape shape =
        new BlockShape(
            (int) section.number(SiteKeys.BLOCKS),
            (int) section.number(SiteKeys.ACCELERATORS_PER_BLOCK),
            Adjacency.valueOf(adjacency.toUpperCase(Locale.ROOT)));
    if (customer.isEmpty() || domain.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new Guarantee(new CustomerId(customer.get()), new FailureDomainId(domain.get()), shape));
  }

  private static Optional<Service> service(TomlSection section) {
    Optional<String> id = section.id(SiteKeys.SERVICE_ID);
    int maxBody = (int) section.bytes(SiteKeys.MAX_BODY);
    long timeout = section.millis(SiteKeys.TIMEOUT);
    int maxQueued = (int) section.number(SiteKeys.MAX_QUEUED);
    int retryPercent = (int) section.number(SiteKeys.RETRY_PERCENT);
    int slots = (int) section.number(SiteKeys.EXECUTOR_SLOTS);
    int connections = (int) section.number(SiteKeys.EXECUTOR_CONNECTIONS);
    return id.map(ServiceId::new)
        .map(
            value ->
                new Service(value, maxBody, timeout, maxQueued, retryPercent, slots, connections));
  }
}
