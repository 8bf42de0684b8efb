package org.primrosegauge.bench.load;

import java.util.List;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.standin.scope.WorkMeter;

/**
 * A job of a replayed load.
 *
 * @param id id
 * @param kind what sort of job it is
 * @param customer customer that hands it in
 * @param atMillis when it is handed in, from the beginning of the load
 * @param steps its steps
 * @param workMillis how long a task of each step takes on a sound worker near its data
 * @param objectiveMillis time from its submission in which it should be done: its longest chain of
 *     work, in waves where a step is wider than a quarter of the fleet, times the kind's slack, and
 *     the kind's latency
 * @param isPoison whether every run fails
 * @param cancelMillis when it is cancelled; the largest value for never
 */
record LoadJob(
    JobId id,
    LoadKind kind,
    CustomerId customer,
    long atMillis,
    List<StepSpec> steps,
    List<Long> workMillis,
    long objectiveMillis,
    boolean isPoison,
    long cancelMillis) {

  private static final double MILLIS_PER_SECOND = 1_000;

  boolean isCancelled() {
    return cancelMillis < Long.MAX_VALUE;
  }

  /** Returns the work of all tasks, in core-seconds with accelerators weighed in. */
  double coreSeconds() {
    double sum = 0;
    for (int i = 0; i < steps.size(); i++) {
      StepSpec step = steps.get(i);
      sum += step.count() * WorkMeter.weightOf(step.task()) * workMillis.get(i);
    }
    return sum / MILLIS_PER_SECOND;
  }
}
