package org.primrosegauge.core.schedule;

import java.util.List;
import org.primrosegauge.core.RackId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.job.Resources;

/**
 * What a worker says about itself when it announces itself.
 *
 * @param target id of the worker
 * @param rack rack it stands in
 * @param capacity everything it can give to tasks
 * @param running all tasks that it runs
 * @param reserved all tasks for which it holds capacity and that it was not told to start
 * @since 0.1
 */
public record WorkerDescription(
    TargetId target,
    RackId rack,
    Resources capacity,
    List<RunningTask> running,
    List<TaskId> reserved) {

  /** Copies the lists. */
  public WorkerDescription {
    running = List.copyOf(running);
    reserved = List.copyOf(reserved);
  }
}
