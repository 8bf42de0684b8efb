package org.primrosegauge.core.schedule;

import java.util.List;
import org.primrosegauge.core.TargetId;

/**
 * Periodic report of a worker.
 *
 * @param target id of the worker
 * @param usage usage of the tasks that run there
 * @param ended tasks that ended since the last report; may repeat earlier ones
 * @param lagMillis age of the usage figures, in milliseconds
 * @since 0.1
 */
public record WorkerReport(
    TargetId target, List<TaskUsage> usage, List<EndedTask> ended, long lagMillis) {

  /** Copies the lists. */
  public WorkerReport {
    usage = List.copyOf(usage);
    ended = List.copyOf(ended);
  }
}
