package org.primrosegauge.bench.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.primrosegauge.core.job.JobPhase;

/** What a policy achieved over some runs. */
final class Outcome {

  /** Smallest gang that counts as large, in accelerators. */
  static final int LARGE_GANG = 16;

  int preemptions;
  int unfinished;
  private int failed;
  private final List<Long> completions = new ArrayList<>();
  private final List<Long> largeWaits = new ArrayList<>();
  private double fragmentation;
  private int fragmentationSamples;
  private double wastedMillis;
  private double usefulMillis;
  private double used;
  private double available;

  void ended(Workload.Arrival arrival, JobPhase phase, long afterMillis) {
    if (phase != JobPhase.SUCCEEDED) {
      failed++;
      return;
    }
    completions.add(afterMillis);
    if (arrival.job().total().accelerators() >= LARGE_GANG) {
      largeWaits.add(afterMillis - arrival.runMillis());
    }
  }

  void fragmentation(double value) {
    fragmentation += value;
    fragmentationSamples++;
  }

  void used(int accelerators, int all) {
    used += accelerators;
    available += all;
  }

  void wasted(long acceleratorMillis) {
    wastedMillis += acceleratorMillis;
  }

  void work(Workload.Arrival arrival) {
    usefulMillis += (double) arrival.runMillis() * arrival.job().total().accelerators();
  }

  // Figures

  double meanCompletionSeconds() {
    return completions.stream().mapToLong(Long::longValue).average().orElse(0) / 1_000;
  }

  double completionSeconds(double quantile) {
    return quantile(completions, quantile);
  }

  double largeWaitSeconds(double quantile) {
    return quantile(largeWaits, quantile);
  }

  double meanFragmentation() {
    return fragmentation / Math.max(1, fragmentationSamples);
  }

  double wastedShare() {
    return wastedMillis / Math.max(1, usefulMillis + wastedMillis);
  }

  double utilisation() {
    return used / Math.max(1, available);
  }

  int jobs() {
    return completions.size();
  }

  int notSucceeded() {
    return failed + unfinished;
  }

  private static double quantile(List<Long> values, double quantile) {
    if (values.isEmpty()) {
      return 0;
    }
    List<Long> sorted = new ArrayList<>(values);
    Collections.sort(sorted);
    int index = (int) Math.ceil(quantile * sorted.size()) - 1;
    return sorted.get(Math.max(0, index)) / 1_000.0;
  }
}
