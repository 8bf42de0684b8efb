package org.primrosegauge.wire.toml;

import org.primrosegauge.core.settings.Quantities;
import org.primrosegauge.core.settings.SettingKey;
import org.primrosegauge.core.site.Customer;
import org.primrosegauge.core.site.FailureDomain;
import org.primrosegauge.core.site.Guarantee;
import org.primrosegauge.core.site.Region;
import org.primrosegauge.core.site.Service;
import org.primrosegauge.core.site.SiteConfiguration;

/**
 * Prints a site configuration as TOML, every key written out. Equal configurations give equal
 * texts, and {@link SiteTomlReader} reads back what this prints.
 *
 * <p>One use by one thread; {@link #write} makes its own.
 *
 * @since 0.1
 */
public final class SiteTomlWriter {

  private final StringBuilder out = new StringBuilder();

  private SiteTomlWriter() {}

  /**
   * Returns the text of a configuration.
   *
   * @since 0.1
   */
  public static String write(SiteConfiguration site) {
    SiteTomlWriter writer = new SiteTomlWriter();
    site.regions().forEach(writer::region);
    site.failureDomains().forEach(writer::domain);
    site.customers().forEach(writer::customer);
    site.guarantees().forEach(writer::guarantee);
    site.services().forEach(writer::service);
    return writer.out.toString();
  }

  private void region(Region region) {
    begin(SiteKeys.REGION_ID);
    text(SiteKeys.REGION_ID, region.id());
  }

  private void domain(FailureDomain domain) {
    begin(SiteKeys.DOMAIN_ID);
    text(SiteKeys.DOMAIN_ID, domain.id());
    text(SiteKeys.DOMAIN_REGION, domain.region());
    number(SiteKeys.WORKERS, domain.workers());
    number(SiteKeys.WORKERS_PER_RACK, domain.workersPerRack());
    number(SiteKeys.ACCELERATORS_PER_WORKER, domain.acceleratorsPerWorker());
    number(SiteKeys.CORES_PER_WORKER, domain.coresPerWorker());
    text(
        SiteKeys.MEMORY_PER_WORKER,
        Quantities.formatBytes(domain.memoryMibPerWorker() * Quantities.BYTES_PER_MIB));
  }

  private void customer(Customer customer) {
    begin(SiteKeys.CUSTOMER_ID);
    text(SiteKeys.CUSTOMER_ID, customer.id());
    number(SiteKeys.QUOTA, customer.quotaAccelerators());
    number(SiteKeys.REQUEST_SHARE, customer.requestShare());
  }

  private void guarantee(Guarantee guarantee) {
    begin(SiteKeys.GUARANTEE_CUSTOMER);
    text(SiteKeys.GUARANTEE_CUSTOMER, guarantee.customer());
    text(SiteKeys.GUARANTEE_DOMAIN, guarantee.domain());
    number(SiteKeys.BLOCKS, guarantee.shape().blocks());
    number(SiteKeys.ACCELERATORS_PER_BLOCK, guarantee.shape().acceleratorsPerBlock());
    text(SiteKeys.ADJACENCY, SiteKeys.label(guarantee.shape().adjacency()));
  }

  private void service(Service service) {
    begin(SiteKeys.SERVICE_ID);
    text(SiteKeys.SERVICE_ID, service.id());
    text(SiteKeys.MAX_BODY, Quantities.formatBytes(service.maxBodyBytes()));
    text(SiteKeys.TIMEOUT, Quantities.formatMillis(service.timeoutMillis()));
    number(SiteKeys.MAX_QUEUED, service.maxQueued());
    number(SiteKeys.RETRY_PERCENT, service.retryPercent());
    number(SiteKeys.EXECUTOR_SLOTS, service.executorSlots());
    number(SiteKeys.EXECUTOR_CONNECTIONS, service.executorConnections());
  }

  private void begin(SettingKey first) {
    if (!out.isEmpty()) {
      out.append('\n');
    }
    out.append("[[").append(first.table().replace("[]", "")).append("]]\n");
  }

  /** Ids and quantities need no escapes, see {@link org.primrosegauge.core.IdSyntax}. */
  private void text(SettingKey key, Object value) {
    out.append(key.name()).append(" = \"").append(value).append("\"\n");
  }

  private void number(SettingKey key, long value) {
    out.append(key.name()).append(" = ").append(value).append('\n');
  }
}
