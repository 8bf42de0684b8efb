package org.primrosegauge.bench.policy;

import java.util.ArrayList;
import java.util.List;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.RackId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.WorkerDescription;
import org.primrosegauge.core.site.Adjacency;
import org.primrosegauge.core.site.BlockShape;
import org.primrosegauge.core.site.Customer;
import org.primrosegauge.core.site.Guarantee;
import org.primrosegauge.core.site.SiteConfiguration;

/**
 * A site whose policy is measured.
 *
 * @param name name in figures
 * @param domains failure domains that are driven
 * @param workers workers of all these domains
 * @param perRack workers of one rack
 * @param memoryMib memory of one worker, in MiB
 * @param largestGang accelerators of the largest gang
 * @param medianRunMillis median run time, in milliseconds
 * @param hours virtual time during which jobs arrive
 */
record SiteShape(
    String name,
    List<String> domains,
    int workers,
    int perRack,
    long memoryMib,
    int largestGang,
    long medianRunMillis,
    int hours) {

  static final int ACCELERATORS_PER_WORKER = 8;
  private static final int MILLI_CORES_PER_WORKER = 64_000;
  private static final long MINUTE_MILLIS = 60_000;

  static final SiteShape MINYAK_HIJAU =
      new SiteShape(
          "minyak-hijau",
          List.of("klang", "penang", "johor", "kuantan"),
          30,
          6,
          250_000,
          32,
          5 * MINUTE_MILLIS,
          16);

  static final SiteShape LAKESHORE =
      new SiteShape(
          "lakeshore",
          List.of("lakes-west", "lakes-central", "lakes-east"),
          30,
          8,
          130_000,
          64,
          8 * MINUTE_MILLIS,
          16);

  /** One of the 21 domains of the letter's size. */
  static final SiteShape LETTER =
      new SiteShape("letter", List.of("domain-1"), 133, 8, 250_000, 256, 120 * MINUTE_MILLIS, 72);

  int workersOf(int domain) {
    return workers / domains.size() + (domain < workers % domains.size() ? 1 : 0);
  }

  List<WorkerDescription> describe(int domain) {
    List<WorkerDescription> described = new ArrayList<>();
    Resources capacity = new Resources(MILLI_CORES_PER_WORKER, memoryMib, ACCELERATORS_PER_WORKER);
    for (int i = 0; i < workersOf(domain); i++) {
      described.add(
          new WorkerDescription(
              new TargetId(String.format("w%04d", i)),
              new RackId(String.format("r%03d", i / perRack)),
              capacity,
              List.of(),
              List.of()));
    }
    return described;
  }

  /** Four customers; two of them hold one eighth of the domain each. */
  SiteConfiguration configuration(int domain) {
    List<Customer> customers = new ArrayList<>();
    for (int i = 0; i < Workload.CUSTOMERS; i++) {
      customers.add(new Customer(new CustomerId("customer-" + i), 0, 1));
    }
    FailureDomainId id = new FailureDomainId(domains.get(domain));
    int blocks = Math.max(1, workersOf(domain) / 8);
    BlockShape shape = new BlockShape(blocks, ACCELERATORS_PER_WORKER, Adjacency.WORKER);
    List<Guarantee> guarantees =
        List.of(
            new Guarantee(new CustomerId("customer-0"), id, shape),
            new Guarantee(new CustomerId("customer-1"), id, shape));
    return new SiteConfiguration(List.of(), List.of(), customers, guarantees, List.of());
  }
}
