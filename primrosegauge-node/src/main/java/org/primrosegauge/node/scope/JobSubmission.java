package org.primrosegauge.node.scope;

import java.util.List;
import java.util.Objects;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.StepSpec;

/**
 * Job as submitted by a caller.
 *
 * @param payload text that is passed unchanged to each run when it starts
 * @param steps steps, at least one
 * @param recurrence when the job runs
 * @since 0.2
 */
public record JobSubmission(String payload, List<StepSpec> steps, Recurrence recurrence) {

  /**
   * Checks the number of tasks and that each step depends on earlier steps only, and copies the
   * list of steps.
   */
  public JobSubmission {
    Objects.requireNonNull(recurrence, "recurrence");
    steps = List.copyOf(steps);
    if (steps.isEmpty() || taskCount(steps) > StepSpec.MAX_TASKS) {
      throw new IllegalArgumentException(
          taskCount(steps)
              + " tasks in "
              + steps.size()
              + " steps: job has no steps or too many tasks");
    }
    for (int i = 0; i < steps.size(); i++) {
      requireEarlier(steps.get(i).dependsOn(), i);
    }
  }

  /**
   * Returns the total number of tasks of steps.
   *
   * @since 0.3
   */
  public static long taskCount(List<StepSpec> steps) {
    return steps.stream().mapToLong(StepSpec::count).sum();
  }

  private static void requireEarlier(List<Integer> dependsOn, int step) {
    if (dependsOn.stream().anyMatch(each -> each < 0 || each >= step)) {
      throw new IllegalArgumentException(
          "step " + step + " must depend on earlier steps only, but depends on " + dependsOn);
    }
  }
}
