package org.primrosegauge.bench.policy;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.site.Adjacency;

/**
 * Draws the jobs of one domain: Poisson arrivals with bursts, sizes by powers of two, log-normal
 * run times, and declared times that are wrong by up to ten times either way.
 */
final class Workload {

  static final int CUSTOMERS = 4;
  private static final double LOAD = 0.85;
  private static final double RUN_SIGMA = 1.4;
  private static final long LEAST_RUN_MILLIS = 20_000;
  private static final long HOUR_MILLIS = 3_600_000;
  private static final double BURST_SHARE = 0.03;
  private static final int BURST_JOBS = 12;
  private static final double FIRM_SHARE = 0.1;
  private static final double ONE_WORKER_SHARE = 0.5;

  /** A job, its arrival and its true run time. */
  record Arrival(long atMillis, JobSpec job, long runMillis) {}

  private final SiteShape site;
  private final UniformRandomProvider random;
  private final ContinuousSampler runTimes;
  private final List<Arrival> arrivals = new ArrayList<>();

  private Workload(SiteShape site, long seed) {
    this.site = site;
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    runTimes =
        LogNormalSampler.of(
            ZigguratSampler.NormalizedGaussian.of(random),
            Math.log(site.medianRunMillis()),
            RUN_SIGMA);
  }

  static List<Arrival> draw(SiteShape site, int domain, long seed) {
    Workload workload = new Workload(site, seed * 1_000 + domain);
    workload.drawAll(site.workersOf(domain) * SiteShape.ACCELERATORS_PER_WORKER);
    return workload.arrivals;
  }

  private void drawAll(int accelerators) {
    double perJob = meanAcceleratorMillis(accelerators);
    double jobsPerArrival = 1 + BURST_SHARE * (BURST_JOBS - 1);
    ContinuousSampler gaps =
        ZigguratSampler.Exponential.of(random, perJob * jobsPerArrival / (LOAD * accelerators));
    double at = gaps.sample();
    while (at < site.hours() * (double) HOUR_MILLIS) {
      int jobs = random.nextDouble() < BURST_SHARE ? BURST_JOBS : 1;
      int burstSize = drawSize(accelerators);
      for (int i = 0; i < jobs; i++) {
        add((long) at, i == 0 ? burstSize : Math.min(burstSize, drawSize(accelerators)));
      }
      at += gaps.sample();
    }
  }

  private double meanAcceleratorMillis(int accelerators) {
    double meanRun = site.medianRunMillis() * Math.exp(RUN_SIGMA * RUN_SIGMA / 2);
    double meanSize = 0;
    int samples = 20_000;
    for (int i = 0; i < samples; i++) {
      meanSize += drawSize(accelerators);
    }
    return meanRun * meanSize / samples;
  }

  /** Half of the gangs need one accelerator; each doubling is about half as frequent. */
  private int drawSize(int accelerators) {
    int largest = Math.min(site.largestGang(), accelerators / 2);
    int size = 1;
    while (size * 2 <= largest && random.nextDouble() < 0.55) {
      size *= 2;
    }
    return size;
  }

  private void add(long at, int accelerators) {
    long run = Math.max(LEAST_RUN_MILLIS, (long) runTimes.sample());
    long declared = (long) (run * Math.pow(10, random.nextDouble() * 2 - 1));
    boolean oneWorker =
        accelerators <= SiteShape.ACCELERATORS_PER_WORKER && random.nextDouble() < ONE_WORKER_SHARE;
    int each = accelerators > SiteShape.ACCELERATORS_PER_WORKER ? 8 : 1;
    boolean preemptible = random.nextDouble() >= FIRM_SHARE;
    JobSpec job =
        new JobSpec(
            new JobId("j" + arrivals.size()),
            new CustomerId("customer-" + random.nextInt(CUSTOMERS)),
            accelerators / each,
            new Resources(4_000L * each, 12_000L * each, each),
            oneWorker ? Adjacency.WORKER : Adjacency.DOMAIN,
            oneWorker,
            false,
            preemptible,
            true,
            declared,
            0,
            "run");
    arrivals.add(new Arrival(at, job, run));
  }
}
