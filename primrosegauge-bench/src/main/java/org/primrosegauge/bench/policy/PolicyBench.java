package org.primrosegauge.bench.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.bench.Figure;
import org.primrosegauge.core.schedule.cfg.BackfillRule;
import org.primrosegauge.core.schedule.cfg.QueueOrder;
import org.primrosegauge.core.schedule.cfg.SchedulingPolicy;
import org.primrosegauge.core.schedule.cfg.WorkerChoice;

/**
 * Compares scheduling policies on both users' sites and on one domain of the letter's size, on
 * train seeds, on test seeds, and with a failure domain that leaves and returns. Prints one JSON
 * line a figure. Arguments, each a list with commas, all when left out: sites, labels of the seeds,
 * policies beside the baseline.
 */
public final class PolicyBench {

  private static final long[] TRAIN_SEEDS = {11, 12, 13};
  private static final long[] TEST_SEEDS = {101, 102, 103, 104};
  private static final long HOUR_MILLIS = 3_600_000;
  private static final double MEAN_RATIO_TARGET = 0.5;
  private static final double LARGE_WAIT_RATIO_TARGET = 0.25;
  private static final String TRAIN = "train";
  private static final String TEST = "test";
  private static final String TEST_OUTAGE = "test-outage";
  private static final List<String> LABELS = List.of(TRAIN, TEST, TEST_OUTAGE);
  private static final String BASELINE = "fifo-first-fit";
  private static final String DEFAULT = "default";

  private PolicyBench() {}

  /** Runs the comparison. */
  public static void main(String[] arguments) {
    List<String> wanted = arguments.length > 0 ? List.of(arguments[0].split(",")) : List.of();
    List<String> labels = arguments.length > 1 ? List.of(arguments[1].split(",")) : LABELS;
    List<String> names =
        arguments.length > 2 ? List.of(arguments[2].split(",")) : List.copyOf(policies().keySet());
    for (SiteShape site : List.of(SiteShape.MINYAK_HIJAU, SiteShape.LAKESHORE, SiteShape.LETTER)) {
      if (wanted.isEmpty() || wanted.contains(site.name())) {
        labels.forEach(label -> compare(site, label, names));
      }
    }
  }

  private static Map<String, SchedulingPolicy> policies() {
    Map<String, SchedulingPolicy> policies = new LinkedHashMap<>();
    SchedulingPolicy fifo = SchedulingPolicy.FIFO_FIRST_FIT;
    SchedulingPolicy skip = fifo.withBackfill(BackfillRule.ALWAYS);
    policies.put(BASELINE, fifo);
    policies.put("fifo-skip", skip);
    policies.put("backfill", fifo.withBackfill(BackfillRule.BEFORE_SHADOW));
    policies.put("shortest-declared", skip.withOrder(QueueOrder.SHORTEST_DECLARED));
    policies.put("cell", skip.withChoice(WorkerChoice.CELL));
    policies.put(
        "cell-defrag",
        skip.withChoice(WorkerChoice.CELL).withBoundsWait(true).withDefragments(true));
    policies.put(
        "las-first-fit",
        SchedulingPolicy.leastRunTime(SchedulingPolicy.FIRST_LEVEL_MILLIS, WorkerChoice.FIRST_FIT));
    policies.put(
        "las-service",
        SchedulingPolicy.leastAttained(SchedulingPolicy.FIRST_LEVEL_SERVICE, WorkerChoice.CELL));
    policies.put("las-no-defrag", SchedulingPolicy.DEFAULT.withDefragments(false));
    policies.put(DEFAULT, SchedulingPolicy.DEFAULT);
    return policies;
  }

  private static void compare(SiteShape site, String label, List<String> names) {
    long[] seeds = label.equals(TRAIN) ? TRAIN_SEEDS : TEST_SEEDS;
    boolean outage = label.equals(TEST_OUTAGE);
    Outcome baseline = null;
    for (Map.Entry<String, SchedulingPolicy> policy : policies().entrySet()) {
      if (!names.contains(policy.getKey()) && !policy.getKey().equals(BASELINE)) {
        continue;
      }
      Outcome outcome = run(site, policy.getValue(), seeds, outage);
      baseline = baseline == null ? outcome : baseline;
      String prefix = "policy." + site.name() + "." + label + "." + policy.getKey() + ".";
      boolean judged = policy.getKey().equals(DEFAULT) && !label.equals(TRAIN);
      figures(prefix, outcome, baseline, judged).forEach(f -> System.out.println(f.json()));
    }
  }

  private static Outcome run(
      SiteShape site, SchedulingPolicy policy, long[] seeds, boolean outage) {
    Outcome outcome = new Outcome();
    for (long seed : seeds) {
      for (int domain = 0; domain < site.domains().size(); domain++) {
        DomainRun run = new DomainRun(site, domain, policy, outcome);
        if (outage && domain == 0) {
          run.switchOut(4 * HOUR_MILLIS, 5 * HOUR_MILLIS);
        }
        run.run(Workload.draw(site, domain, seed));
      }
    }
    return outcome;
  }

  private static List<Figure> figures(
      String prefix, Outcome outcome, Outcome baseline, boolean judged) {
    double meanTarget = judged ? MEAN_RATIO_TARGET : Double.NaN;
    double waitTarget = judged ? LARGE_WAIT_RATIO_TARGET : Double.NaN;
    List<Figure> figures = new ArrayList<>();
    figures.add(
        new Figure(
            prefix + "completion.mean",
            outcome.meanCompletionSeconds(),
            "s",
            baseline.meanCompletionSeconds(),
            meanTarget,
            true));
    figures.add(
        Figure.plain(
            prefix + "completion.p99",
            outcome.completionSeconds(0.99),
            "s",
            baseline.completionSeconds(0.99)));
    figures.add(
        new Figure(
            prefix + "large.wait.p99",
            outcome.largeWaitSeconds(0.99),
            "s",
            baseline.largeWaitSeconds(0.99),
            waitTarget,
            true));
    figures.add(
        Figure.plain(
            prefix + "fragmentation",
            outcome.meanFragmentation(),
            "share",
            baseline.meanFragmentation()));
    figures.add(
        Figure.plain(
            prefix + "utilisation", outcome.utilisation(), "share", baseline.utilisation()));
    figures.add(
        Figure.plain(prefix + "preemptions", outcome.preemptions, "gangs", baseline.preemptions));
    figures.add(
        Figure.plain(prefix + "wasted", outcome.wastedShare(), "share", baseline.wastedShare()));
    figures.add(Figure.plain(prefix + "jobs", outcome.jobs(), "jobs", baseline.jobs()));
    figures.add(
        Figure.plain(
            prefix + "not-succeeded", outcome.notSucceeded(), "jobs", baseline.notSucceeded()));
    return figures;
  }
}
