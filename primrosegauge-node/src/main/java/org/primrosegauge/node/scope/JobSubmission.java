package org.primrosegauge.node.scope;

import java.util.List;
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

  /** Copies the list. */
  public JobSubmission {
    steps = List.copyOf(steps);
  }
}
