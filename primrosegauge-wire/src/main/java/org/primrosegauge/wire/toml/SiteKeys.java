package org.primrosegauge.wire.toml;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.primrosegauge.core.settings.Quantities;
import org.primrosegauge.core.settings.SettingKey;
import org.primrosegauge.core.settings.SettingType;
import org.primrosegauge.core.site.Adjacency;
import org.primrosegauge.core.site.SiteLimits;
import org.primrosegauge.core.site.SitePath.Section;

/**
 * Keys of the site configuration.
 *
 * @since 0.1
 */
public final class SiteKeys {

  static final SettingKey REGION_ID = id(Section.REGIONS, "id", "id of the region");

  static final SettingKey DOMAIN_ID = id(Section.FAILURE_DOMAINS, "id", "id of the failure domain");
  static final SettingKey DOMAIN_REGION =
      id(Section.FAILURE_DOMAINS, "region", "region that it belongs to");
  static final SettingKey WORKERS =
      number(Section.FAILURE_DOMAINS, "workers", "workers expected in the domain")
          .withRange(1, SiteLimits.MAX_WORKERS);
  static final SettingKey WORKERS_PER_RACK =
      number(Section.FAILURE_DOMAINS, "workers-per-rack", "workers of one rack")
          .withRange(1, SiteLimits.MAX_WORKERS);
  static final SettingKey ACCELERATORS_PER_WORKER =
      number(Section.FAILURE_DOMAINS, "accelerators-per-worker", "accelerators of one worker")
          .withRange(1, SiteLimits.MAX_ACCELERATORS_PER_WORKER);
  static final SettingKey CORES_PER_WORKER =
      number(Section.FAILURE_DOMAINS, "cores-per-worker", "processor cores of one worker")
          .withRange(1, SiteLimits.MAX_CORES_PER_WORKER);
  static final SettingKey MEMORY_PER_WORKER =
      key(
              Section.FAILURE_DOMAINS,
              "memory-per-worker",
              SettingType.SIZE,
              "memory of one worker; whole MiB")
          .withRange(
              Quantities.BYTES_PER_MIB,
              SiteLimits.MAX_MEMORY_MIB_PER_WORKER * Quantities.BYTES_PER_MIB)
          .withRequired();

  static final SettingKey CUSTOMER_ID = id(Section.CUSTOMERS, "id", "id of the customer");
  static final SettingKey QUOTA =
      key(
              Section.CUSTOMERS,
              "quota-accelerators",
              SettingType.NUMBER,
              "most accelerators that the customer may hold on the whole site; 0 for no quota")
          .withRange(0, SiteLimits.MAX_ACCELERATORS)
          .withDefault("0");
  static final SettingKey REQUEST_SHARE =
      key(
              Section.CUSTOMERS,
              "request-share",
              SettingType.NUMBER,
              "weight of the customer's requests under overload")
          .withRange(1, SiteLimits.MAX_REQUEST_SHARE)
          .withDefault("1");

  static final SettingKey GUARANTEE_CUSTOMER =
      id(Section.GUARANTEES, "customer", "holder of the guarantee");
  static final SettingKey GUARANTEE_DOMAIN =
      id(Section.GUARANTEES, "failure-domain", "failure domain that carries it");
  static final SettingKey BLOCKS =
      number(Section.GUARANTEES, "blocks", "number of blocks")
          .withRange(1, SiteLimits.MAX_ACCELERATORS);
  static final SettingKey ACCELERATORS_PER_BLOCK =
      number(Section.GUARANTEES, "accelerators-per-block", "adjacent accelerators of one block")
          .withRange(1, SiteLimits.MAX_ACCELERATORS);
  static final SettingKey ADJACENCY =
      SettingKey.choice(
              Section.GUARANTEES.label() + "[]",
              "adjacency",
              Arrays.stream(Adjacency.values()).map(SiteKeys::label).toList(),
              "how close the accelerators of one block lie")
          .withDefault("worker");

  static final SettingKey SERVICE_ID = id(Section.SERVICES, "id", "id of the service");
  static final SettingKey MAX_BODY =
      key(Section.SERVICES, "max-body", SettingType.SIZE, "largest request or answer body")
          .withRange(1, SiteLimits.MAX_BODY_BYTES)
          .withDefault("1MiB");
  static final SettingKey TIMEOUT =
      key(
              Section.SERVICES,
              "timeout",
              SettingType.DURATION,
              "time-out of a request whose caller states no deadline")
          .withRange(1, SiteLimits.MAX_TIMEOUT_MILLIS)
          .withDefault("30s");
  static final SettingKey MAX_QUEUED =
      key(
              Section.SERVICES,
              "max-queued",
              SettingType.NUMBER,
              "most requests that wait for a slot in one instance")
          .withRange(1, SiteLimits.MAX_QUEUED)
          .withDefault("256");
  static final SettingKey RETRY_PERCENT =
      key(
              Section.SERVICES,
              "retry-percent",
              SettingType.NUMBER,
              "retries allowed per 100 first tries")
          .withRange(0, SiteLimits.MAX_RETRY_PERCENT)
          .withDefault("10");

  static final SettingKey EXECUTOR_SLOTS =
      key(
              Section.SERVICES,
              "executor-slots",
              SettingType.NUMBER,
              "most requests at once that one executor is given, whatever it announces")
          .withRange(1, SiteLimits.MAX_EXECUTOR_SLOTS)
          .withDefault("8");
  static final SettingKey EXECUTOR_CONNECTIONS =
      key(
              Section.SERVICES,
              "executor-connections",
              SettingType.NUMBER,
              "most connections at once that all instances open to one executor")
          .withRange(1, SiteLimits.MAX_EXECUTOR_CONNECTIONS)
          .withDefault("60");

  /** Every key of the site configuration, in the order of the settings page. */
  public static final List<SettingKey> ALL =
      List.of(
          REGION_ID,
          DOMAIN_ID,
          DOMAIN_REGION,
          WORKERS,
          WORKERS_PER_RACK,
          ACCELERATORS_PER_WORKER,
          CORES_PER_WORKER,
          MEMORY_PER_WORKER,
          CUSTOMER_ID,
          QUOTA,
          REQUEST_SHARE,
          GUARANTEE_CUSTOMER,
          GUARANTEE_DOMAIN,
          BLOCKS,
          ACCELERATORS_PER_BLOCK,
          ADJACENCY,
          SERVICE_ID,
          MAX_BODY,
          TIMEOUT,
          MAX_QUEUED,
          RETRY_PERCENT,
          EXECUTOR_SLOTS,
          EXECUTOR_CONNECTIONS);

  private SiteKeys() {}

  static String label(Adjacency adjacency) {
    return adjacency.name().toLowerCase(Locale.ROOT);
  }

  private static SettingKey id(Section section, String name, String doc) {
    return key(section, name, SettingType.ID, doc).withRequired();
  }

  private static SettingKey number(Section section, String name, String doc) {
    return key(section, name, SettingType.NUMBER, doc).withRequired();
  }

  private static SettingKey key(Section section, String name, SettingType type, String doc) {
    return SettingKey.of(section.label() + "[]", name, type, doc);
  }
}
