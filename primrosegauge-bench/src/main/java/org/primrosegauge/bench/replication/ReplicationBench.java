package org.primrosegauge.bench.replication;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.primrosegauge.bench.Figure;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;
import org.primrosegauge.core.registry.ContentDigest;
import org.primrosegauge.core.registry.RegistryCommand.ApplyConfiguration;
import org.primrosegauge.core.registry.RegistryCommand.RenewKeeper;
import org.primrosegauge.core.registry.RegistryResult;

/**
 * Measures how long a change takes to be in force on all instances of a site, and the bytes that
 * each sends and receives for it, without TCP and IP headers. One process, TCP over loopback.
 *
 * <p>Arguments: the folder for the journals; without it, one below the working directory.
 *
 * @since 0.1
 */
public final class ReplicationBench {

  private static final int CONTENT_LINES = 600;
  private static final int SINGLE_CHANGES = 6;
  private static final int BURST_CHANGES = 500;
  private static final double CHANGES_PER_DAY = 1_900;
  private static final double SECONDS_PER_DAY = 86_400;
  private static final int IDLE_SECONDS = 5;
  private static final int FAILURE_DOMAINS = 21;
  private static final double TARGET_SECONDS = 6;
  private static final double TARGET_BYTES_PER_SECOND = 15_000;
  private static final double TARGET_CATCH_UP_SECONDS = 2;
  private static final long START_TIMEOUT_MILLIS = 30_000;
  private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(20);

  private final ReplicationSite site;
  private final String suffix;
  private final SplittableRandom random = new SplittableRandom(1);
  private long revision;

  private ReplicationBench(ReplicationSite site, String suffix) {
    this.site = site;
    this.suffix = suffix;
  }

  /** Runs the benchmark at 9 and at 63 instances. */
  public static void main(String[] args) throws Exception {
    Path parent = Path.of(args.length > 0 ? args[0] : "target");
    Files.createDirectories(parent);
    measure(parent, 9, 3);
    measure(parent, 63, 7);
    System.exit(0);
  }

  private static void measure(Path parent, int instances, int voters) throws Exception {
    Path folder = Files.createTempDirectory(parent, "replication-bench");
    try (ReplicationSite site = new ReplicationSite(instances, voters, folder)) {
      ReplicationBench bench = new ReplicationBench(site, "." + instances);
      bench.awaitStart();
      bench.measureSingleChanges();
      bench.measureRenewals();
      bench.measureBurst();
    }
  }

  private void awaitStart() throws InterruptedException {
    apply();
    awaitInForce(true, START_TIMEOUT_MILLIS);
  }

  private void measureSingleChanges() throws InterruptedException {
    final double idle = measureIdle();
    double slowest = 0;
    long start = System.nanoTime();
    long[] before = site.bytes();
    for (int i = 0; i < SINGLE_CHANGES; i++) {
      long changeStart = System.nanoTime();
      apply();
      awaitInForce(true, START_TIMEOUT_MILLIS);
      slowest = Math.max(slowest, secondsSince(changeStart));
    }
    double total = largestDifference(before, site.bytes());
    double perChange = Math.max(0, total - idle * secondsSince(start)) / SINGLE_CHANGES;
    print("replication.in-force", slowest, "s", TARGET_SECONDS);
    print("replication.bytes-idle", idle, "B/s", TARGET_BYTES_PER_SECOND);
    print("replication.bytes-a-change", perChange, "B", Double.NaN);
    double daily = idle + perChange * CHANGES_PER_DAY / SECONDS_PER_DAY;
    print("replication.bytes-at-daily-rate", daily, "B/s", TARGET_BYTES_PER_SECOND);
  }

  private double measureIdle() throws InterruptedException {
    long[] before = site.bytes();
    TimeUnit.SECONDS.sleep(IDLE_SECONDS);
    return largestDifference(before, site.bytes()) / IDLE_SECONDS;
  }

  /** The keepers of 21 failure domains renew their leases by the quorum. */
  private void measureRenewals() throws InterruptedException {
    FailureDomainId domain = new FailureDomainId("klang");
    RenewKeeper renewal = new RenewKeeper(domain, new InstanceId("klang-1"), new Term(1));
    long pauseMillis = KeeperSettings.DEFAULT.renewMillis() / FAILURE_DOMAINS;
    long count = TimeUnit.SECONDS.toMillis(IDLE_SECONDS) / pauseMillis;
    final long[] before = site.bytes();
    final long start = System.nanoTime();
    for (long i = 0; i < count; i++) {
      site.service().propose(renewal).subscribe(result -> {}, error -> {});
      TimeUnit.MILLISECONDS.sleep(pauseMillis);
    }
    double bytes = largestDifference(before, site.bytes()) / secondsSince(start);
    print("replication.bytes-with-renewals", bytes, "B/s", TARGET_BYTES_PER_SECOND);
  }

  private void measureBurst() throws InterruptedException {
    site.pauseLast(true);
    final long[] before = site.bytes();
    final long start = System.nanoTime();
    for (int i = 0; i < BURST_CHANGES; i++) {
      apply();
    }
    print("replication.burst-accepted", secondsSince(start), "s", Double.NaN);
    long accepted = System.nanoTime();
    awaitInForce(false, START_TIMEOUT_MILLIS);
    print("replication.burst-in-force", secondsSince(accepted), "s", TARGET_SECONDS);
    double bytes = largestDifference(before, site.bytes()) / secondsSince(start);
    print("replication.bytes-in-burst", bytes, "B/s", TARGET_BYTES_PER_SECOND);
    site.pauseLast(false);
    long resumed = System.nanoTime();
    awaitInForce(true, START_TIMEOUT_MILLIS);
    print("replication.catch-up", secondsSince(resumed), "s", TARGET_CATCH_UP_SECONDS);
  }

  private void apply() {
    String content = content();
    ApplyConfiguration change =
        new ApplyConfiguration(
            new RequestId("r" + revision),
            new Revision(revision),
            ContentDigest.of(content),
            content,
            "bench");
    RegistryResult result = site.service().propose(change).block(CHANGE_TIMEOUT);
    if (!(result instanceof RegistryResult.ConfigurationAccepted)) {
      throw new IllegalStateException("change was not accepted: " + result);
    }
    revision++;
  }

  private String content() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < CONTENT_LINES; i++) {
      text.append("[customers.team-").append(i).append("]\nquota = ");
      text.append(random.nextInt(1_000)).append('\n');
    }
    return text.toString();
  }

  private void awaitInForce(boolean withLast, long timeoutMillis) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    while (!site.isInForce(new Revision(revision), withLast)) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("revision " + revision + " is not in force in time");
      }
      TimeUnit.MILLISECONDS.sleep(2);
    }
  }

  private void print(String name, double value, String unit, double target) {
    Figure figure = new Figure(name + suffix, value, unit, Double.NaN, target, false);
    System.out.println(figure.json());
  }

  private static double secondsSince(long startNanos) {
    return (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1);
  }

  private static double largestDifference(long[] before, long[] after) {
    double largest = 0;
    for (int i = 0; i < before.length; i++) {
      largest = Math.max(largest, after[i] - before[i]);
    }
    return largest;
  }
}
