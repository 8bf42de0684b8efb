package org.primrosegauge.bench.scope;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.primrosegauge.bench.Figure;
import org.primrosegauge.bench.Figure.Bound;
import org.primrosegauge.standin.scope.LoadedOutcome;
import org.primrosegauge.standin.scope.LoadedScope;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Plays the load of a day, scaled to fleets of several sizes, through the real decisions in virtual
 * time, and prints what they cost as one JSON line a figure, with the slopes between the sizes.
 *
 * @since 0.3
 */
@Command(
    name = "scope",
    mixinStandardHelpOptions = true,
    description = "Measures the decisions of a scope at several sizes of its fleet.")
public final class ScopeBench implements Runnable {

  private static final List<Integer> SIZES = List.of(30, 246, 2_800);
  private static final int MIDDLE_SIZE = 246;
  private static final int LARGE_SIZE = 2_800;
  private static final int WARM_UP_SIZE = 246;
  private static final long WARM_UP_MILLIS = 10_000;
  private static final double MIDDLE_PASS_MILLIS = 5;
  private static final double LARGE_PASS_MILLIS = 20;
  private static final double MOST_GROWTH = 2;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final double NANOS_PER_MILLI = 1_000_000;
  private static final double MEDIAN = 50;
  private static final double HIGH = 99;

  private record Measured(int workers, EventTimes times) {}

  @Option(names = "--seed", defaultValue = "1", description = "Seed of the load, by default 1.")
  private long seed;

  @Option(names = "--length", defaultValue = "22", description = "Seconds of load, by default 22.")
  private int lengthSeconds;

  @Option(names = "--workers", split = ",", description = "Sizes, by default 30, 246 and 2800.")
  private List<Integer> sizes = SIZES;

  /**
   * Entry point.
   *
   * @since 0.3
   */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new ScopeBench()).execute(arguments));
  }

  @Override
  public void run() {
    new LoadedScope(seed, WARM_UP_SIZE, WARM_UP_MILLIS, new EventTimes()).play(WARM_UP_MILLIS);
    List<Measured> measured = new ArrayList<>();
    for (int workers : sizes) {
      measured.add(measure(workers));
    }
    for (int i = 1; i < measured.size(); i++) {
      slope(measured.get(i - 1), measured.get(i));
    }
  }

  private Measured measure(int workers) {
    EventTimes times = new EventTimes();
    long millis = 1_000L * lengthSeconds;
    LoadedScope loaded = new LoadedScope(seed, workers, millis, times);
    LoadedOutcome outcome = loaded.play(millis);
    String prefix = "scope.workers-" + workers + ".";
    print(Figure.plain(prefix + "jobs", outcome.jobs(), "jobs", Double.NaN));
    print(Figure.plain(prefix + "events", times.events().getTotalCount(), "events", Double.NaN));
    print(Figure.plain(prefix + "examined", times.examinedPerEvent(), "things/event", Double.NaN));
    print(
        Figure.plain(
            prefix + "time", times.nanosPerEvent() / NANOS_PER_MICRO, "us/event", Double.NaN));
    times(prefix + "event.", times.events(), Double.NaN);
    times(prefix + "pass.", times.passes(), passTarget(workers));
    int placements = loaded.scope().placements();
    double perPlacement = times.passNanos() / Math.max(1, placements) / NANOS_PER_MICRO;
    print(Figure.plain(prefix + "placements", placements, "runs", Double.NaN));
    print(Figure.plain(prefix + "placement", perPlacement, "us/run", Double.NaN));
    print(
        Figure.plain(
            prefix + "longest-wait", outcome.thread().longestWaitMillis(), "ms", Double.NaN));
    print(
        Figure.plain(
            prefix + "lost-heartbeats", outcome.lostHeartbeats(), "heartbeats", Double.NaN));
    long bytes = LedgerHeap.bytesOf(loaded.scope().snapshot());
    print(Figure.plain(prefix + "ledger", bytes, "B", Double.NaN));
    return new Measured(workers, times);
  }

  private static double passTarget(int workers) {
    return switch (workers) {
      case MIDDLE_SIZE -> MIDDLE_PASS_MILLIS;
      case LARGE_SIZE -> LARGE_PASS_MILLIS;
      default -> Double.NaN;
    };
  }

  private static void times(String prefix, Histogram nanos, double targetMillis) {
    double median = nanos.getValueAtPercentile(MEDIAN) / NANOS_PER_MILLI;
    double high = nanos.getValueAtPercentile(HIGH) / NANOS_PER_MILLI;
    print(Figure.plain(prefix + "p50", median, "ms", Double.NaN));
    print(new Figure(prefix + "p99", high, "ms", Double.NaN, targetMillis, Bound.VALUE_AT_MOST));
    print(
        Figure.plain(prefix + "longest", nanos.getMaxValue() / NANOS_PER_MILLI, "ms", Double.NaN));
  }

  /** Prints how the cost of an event grows between two sizes. */
  private static void slope(Measured small, Measured large) {
    String prefix = "scope.slope-" + small.workers() + "-" + large.workers() + ".";
    boolean hasTarget = small.workers() == MIDDLE_SIZE && large.workers() == LARGE_SIZE;
    double target = hasTarget ? MOST_GROWTH : Double.NaN;
    print(
        new Figure(
            prefix + "time",
            large.times().nanosPerEvent() / NANOS_PER_MICRO,
            "us/event",
            small.times().nanosPerEvent() / NANOS_PER_MICRO,
            target,
            Bound.RATIO_AT_MOST));
    print(
        Figure.plain(
            prefix + "examined",
            large.times().examinedPerEvent(),
            "things/event",
            small.times().examinedPerEvent()));
  }

  private static void print(Figure figure) {
    System.out.println(figure.json());
  }
}
