package org.primrosegauge.node.scope;

import java.util.List;
import java.util.Objects;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.StepSpec;

/**
 * What a caller hands in.
 *
 * @param payload text that each start carries unchanged
 * @param steps steps, at least one
 * @param recurrence when it runs
 * @since 0.2
 */
public record JobSubmission(String payload, List<StepSpec> steps, Recurrence recurrence) {

  /** Checks that the job can be done in the order of its steps, and copies the list. */
  public JobSubmission {
    Objects.requireNonNull(recurrence, "recurrence");
    steps = List.copyOf(steps);
    if (steps.isEmpty() || taskCount(steps) > StepSpec.MAX_TASKS) {
      throw new IllegalArgumentException(taskCount(steps) + " tasks in " + steps.size() + " steps");
    }
    for (int i = 0; i < steps.size(); i++) {
      requireEarlier(steps.get(i).dependsOn(), i);
    }
  }

  /**
   * Returns how many tasks some steps have together.
   *
   * @since 0.3
   */
  public static long taskCount(List<StepSpec> steps) {
    return steps.stream().mapToLong(StepSpec::count).sum();
  }

  private static void requireEarlier(List<Integer> dependsOn, int step) {
    if (dependsOn.stream().anyMatch(each -> each < 0 || each >= step)) {
      throw new IllegalArgumentException("step " + step + " depends on " + dependsOn);
    }
  }
}
