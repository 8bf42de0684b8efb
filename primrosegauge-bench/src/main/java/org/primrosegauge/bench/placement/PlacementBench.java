package org.primrosegauge.bench.placement;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.primrosegauge.bench.Figure;

/**
 * Times the decisions of the scheduler at 30 workers and at 2,800 workers in 21 domains with 50,000
 * tasks, beside a naive placement in the same run. Prints one JSON line a figure.
 */
public final class PlacementBench {

  private static final double P99_TARGET_MICROS = 1_000;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final int SMALL_DOMAINS = 4;
  private static final int SMALL_WORKERS = 8;
  private static final int SMALL_TASKS = 140;
  private static final int LARGE_DOMAINS = 21;
  private static final int LARGE_WORKERS = 134;
  private static final int LARGE_TASKS = 2_381;
  private static final int WARM_UP_EVENTS = 20_000;
  private static final int EVENTS = 20_000;
  private static final int NAIVE_DECISIONS = 200;

  private PlacementBench() {}

  /** Runs both sizes. */
  public static void main(String[] arguments) {
    Histogram small = measure(SMALL_DOMAINS, SMALL_WORKERS, SMALL_TASKS);
    Histogram large = measure(LARGE_DOMAINS, LARGE_WORKERS, LARGE_TASKS);
    Histogram naiveSmall = NaivePlacement.measure(SMALL_WORKERS, NAIVE_DECISIONS);
    Histogram naiveLarge = NaivePlacement.measure(LARGE_WORKERS, NAIVE_DECISIONS);
    print("placement.30-workers", small, naiveSmall);
    print("placement.2800-workers", large, naiveLarge);
    double slope = (micros(large, 50) - micros(small, 50)) / (LARGE_WORKERS - SMALL_WORKERS);
    System.out.println(
        Figure.plain("placement.slope.p50", slope, "us/worker-of-domain", Double.NaN).json());
  }

  private static Histogram measure(int domains, int workers, int tasks) {
    List<LoadedDomain> loaded = new ArrayList<>();
    for (int i = 0; i < domains; i++) {
      loaded.add(new LoadedDomain(i, workers, tasks));
    }
    Histogram histogram = new Histogram(3);
    drive(loaded, WARM_UP_EVENTS, new Histogram(3));
    drive(loaded, EVENTS, histogram);
    int running = loaded.stream().mapToInt(LoadedDomain::runningTasks).sum();
    String name = "placement." + domains + "-domains.running";
    System.out.println(Figure.plain(name, running, "tasks", Double.NaN).json());
    return histogram;
  }

  private static void drive(List<LoadedDomain> domains, int events, Histogram histogram) {
    for (int i = 0; i < events; i++) {
      domains.get(i % domains.size()).step(histogram);
    }
  }

  private static void print(String prefix, Histogram fast, Histogram naive) {
    for (double percentile : new double[] {50, 99}) {
      double target = percentile == 99 ? P99_TARGET_MICROS : Double.NaN;
      System.out.println(
          new Figure(
                  prefix + ".decision.p" + (int) percentile,
                  micros(fast, percentile),
                  "us",
                  micros(naive, percentile),
                  target,
                  false)
              .json());
    }
    System.out.println(
        Figure.plain(
                prefix + ".decision.max",
                fast.getMaxValue() / NANOS_PER_MICRO,
                "us",
                naive.getMaxValue() / NANOS_PER_MICRO)
            .json());
  }

  private static double micros(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / NANOS_PER_MICRO;
  }
}
