package org.primrosegauge.standin.scope;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.CustomerSpec;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.StepSpec;

/**
 * Draws what arrives at a large scope; the same seed and fleet give the same jobs.
 *
 * <p>Arrivals are scaled to the number of workers, so that fleets of all sizes are as busy; jobs
 * are as large everywhere.
 *
 * @since 0.3
 */
public final class EmulatedLoad {

  /** Workers of the fleet that the sheets describe. */
  public static final int SHEET_WORKERS = 246;

  private static final int DOMAINS = 4;
  private static final int WORKERS_PER_RACK = 12;
  private static final Resources WORKER = new Resources(64_000, 256 * 1024, 8);
  private static final int DISTANCE_FACTOR = 3;
  private static final int LEAST_STOP_MILLIS = 100;
  private static final int MOST_STOP_MILLIS = 400;
  private static final int VISIBLE_MILLIS = 3_000;

  /** Part of all accelerators that is guaranteed to customers. */
  private static final double GUARANTEED_SHARE = 0.62;

  /** Part of the jobs and of the guarantees that each customer has; a few are large. */
  private static final double[] CUSTOMER_SHARES = {
    0.24, 0.18, 0.14, 0.11, 0.09, 0.07, 0.06, 0.05, 0.04, 0.02
  };

  private static final double TASKS_SPREAD = 0.8;
  private static final double TIME_SPREAD = 0.3;
  private static final double ESTIMATE_SPREAD = 0.5;
  private static final double MOST_ESTIMATE_FACTOR = 3;
  private static final long LEAST_WORK_MILLIS = 200;
  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * A job and when it is handed in.
   *
   * @param atMillis when it is handed in, from the beginning of the load
   * @param sheet its kind
   * @param job job
   * @param workMillis how long a task of each step takes, in milliseconds
   * @since 0.3
   */
  public record Arrival(long atMillis, LoadSheet sheet, ScopeJob job, List<Long> workMillis) {

    /**
     * Returns the accelerators of the first step.
     *
     * @since 0.3
     */
    public int accelerators() {
      StepSpec first = job.steps().get(0);
      return first.count() * first.task().accelerators();
    }

    /** Returns the job as it is handed in at a time. */
    ScopeJob jobAt(long nowMillis) {
      return new ScopeJob(
          job.id(),
          job.queue(),
          job.pool(),
          job.customer(),
          job.maxAttempts(),
          nowMillis,
          job.payload(),
          job.steps(),
          job.recurrence());
    }
  }

  private final Random random;
  private final EmulatedFleet fleet;
  private final List<Arrival> arrivals = new ArrayList<>();

  private EmulatedLoad(long seed, EmulatedFleet fleet) {
    this.random = new Random(seed);
    this.fleet = fleet;
  }

  /**
   * Returns a fleet of a number of workers.
   *
   * @since 0.3
   */
  public static EmulatedFleet fleet(int workers) {
    return new EmulatedFleet(
        workers,
        DOMAINS,
        WORKERS_PER_RACK,
        WORKER,
        DISTANCE_FACTOR,
        LEAST_STOP_MILLIS,
        MOST_STOP_MILLIS,
        true);
  }

  /**
   * Returns the queues and the customers of a fleet.
   *
   * @since 0.3
   */
  public static ScopeConfiguration configuration(EmulatedFleet fleet) {
    List<QueueSpec> queues = LoadSheet.DAY.stream().map(EmulatedLoad::queue).toList();
    double guaranteed = GUARANTEED_SHARE * fleet.workers() * fleet.capacity().accelerators();
    List<CustomerSpec> customers =
        IntStream.range(0, CUSTOMER_SHARES.length)
            .mapToObj(i -> customer(i, (int) (CUSTOMER_SHARES[i] * guaranteed)))
            .toList();
    return new ScopeConfiguration(new Revision(1), queues, customers, VISIBLE_MILLIS);
  }

  private static QueueSpec queue(LoadSheet sheet) {
    return new QueueSpec(
        sheet.queue(),
        "host",
        "/" + sheet.name() + "/",
        EmulatedScope.POOL,
        sheet.priority(),
        sheet.maxAttempts(),
        sheet.slackFactor(),
        sheet.latencyMillis(),
        true);
  }

  private static CustomerSpec customer(int number, int accelerators) {
    return new CustomerSpec(customerId(number), List.of("key-" + number), accelerators);
  }

  private static CustomerId customerId(int number) {
    return new CustomerId("customer-" + number);
  }

  /**
   * Returns what arrives, in the order of time.
   *
   * @param traffic how many times as much arrives as usual
   * @param lengthMillis time until the last arrival, in milliseconds
   * @since 0.3
   */
  public static List<Arrival> draw(
      long seed, EmulatedFleet fleet, double traffic, long lengthMillis) {
    EmulatedLoad load = new EmulatedLoad(seed, fleet);
    double scale = traffic * fleet.workers() / SHEET_WORKERS;
    for (LoadSheet sheet : LoadSheet.DAY) {
      double perSecond = scale * sheet.perSecond();
      long burstEnd = sheet.burstFromMillis() + sheet.burstMillis();
      load.arrive(sheet, 0, lengthMillis, perSecond);
      load.arrive(sheet, sheet.burstFromMillis(), burstEnd, (sheet.burst() - 1) * perSecond);
    }
    load.arrivals.sort(Comparator.comparingLong(Arrival::atMillis));
    return List.copyOf(load.arrivals);
  }

  private void arrive(LoadSheet sheet, long from, long until, double perSecond) {
    double meanPause = MILLIS_PER_SECOND / perSecond;
    double at = from + meanPause * exponential();
    while (at < until) {
      arrivals.add(arrival(sheet, (long) at));
      at += meanPause * exponential();
    }
  }

  private Arrival arrival(LoadSheet sheet, long atMillis) {
    int count = random.nextDouble() < sheet.steps() - 1 ? 2 : 1;
    List<StepSpec> steps = new ArrayList<>();
    List<Long> times = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      long millis = Math.max(LEAST_WORK_MILLIS, (long) around(sheet.workMillis(), TIME_SPREAD));
      steps.add(step(sheet, i, millis));
      times.add(millis);
    }
    String id = sheet.name() + "-" + arrivals.size();
    ScopeJob job =
        new ScopeJob(
            new JobId(id),
            sheet.queue(),
            EmulatedScope.POOL,
            anyCustomer(),
            sheet.maxAttempts(),
            0,
            "payload " + id,
            steps,
            Recurrence.NONE);
    return new Arrival(atMillis, sheet, job, times);
  }

  private StepSpec step(LoadSheet sheet, int number, long millis) {
    int most = Math.min(sheet.mostTasks(), Math.max(1, fleet.workers() / 3));
    int count = (int) Math.min(most, Math.max(1, Math.round(around(sheet.tasks(), TASKS_SPREAD))));
    int accelerators = sheet.accelerators().get(random.nextInt(sheet.accelerators().size()));
    boolean isGang = sheet.gang() && count > 1;
    boolean hasData = random.nextDouble() < sheet.dataRackShare();
    return StepSpec.builder(count)
        .task(new Resources(sheet.milliCores(), sheet.memoryMib(), accelerators))
        .estimatedMillis(estimate(millis))
        .gang(isGang)
        .rackLocal(isGang && random.nextDouble() < sheet.rackLocalShare())
        .checkpoints(random.nextDouble() < sheet.savingShare())
        .dataRack(hasData ? "r" + random.nextInt(racks()) : "")
        .dependsOn(number == 0 ? List.of() : List.of(number - 1))
        .build();
  }

  private int racks() {
    return (fleet.workers() + fleet.workersPerRack() - 1) / fleet.workersPerRack();
  }

  private long estimate(long millis) {
    double factor = Math.exp(ESTIMATE_SPREAD * random.nextGaussian());
    double bounded = Math.max(1 / MOST_ESTIMATE_FACTOR, Math.min(MOST_ESTIMATE_FACTOR, factor));
    return (long) (millis * bounded);
  }

  private CustomerId anyCustomer() {
    double left = random.nextDouble();
    int number = 0;
    while (number < CUSTOMER_SHARES.length - 1 && left >= CUSTOMER_SHARES[number]) {
      left -= CUSTOMER_SHARES[number++];
    }
    return customerId(number);
  }

  /** Returns a log-normal value with the given mean. */
  private double around(double mean, double spread) {
    return mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
  }

  private double exponential() {
    return -Math.log(1 - random.nextDouble());
  }
}
