package org.primrosegauge.core.scope.impl;

import java.util.List;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepRecord;
import org.primrosegauge.core.scope.StepSpec;

/**
 * A step that is ready to run and needs workers.
 *
 * @param key key of the step
 * @param job job of the step
 * @param record state of the step in the ledger
 * @param tasks indexes of the tasks that need a worker
 * @param priority priority of the job's queue; 0 is the highest
 * @param lateness 0 while the objective can be met, 1 while it is missed by less than the overrun
 *     limit, 2 beyond that
 * @param objectiveMillis time of day by which the job should be done, in milliseconds since 1970
 * @param expectedMillis how long a task is expected to run, in milliseconds
 * @param stepWait how long the step has been waiting
 */
record Demand(
    StepKey key,
    JobEntry job,
    StepRecord record,
    List<Integer> tasks,
    int priority,
    int lateness,
    long objectiveMillis,
    long expectedMillis,
    StepWait stepWait) {

  StepSpec spec() {
    return record.spec();
  }

  /** Returns the number of the next attempt; all members of a gang share one. */
  int nextAttempt(int index) {
    return 1 + (spec().gang() ? record.lastAttempt() : record.task(index).lastAttempt());
  }
}
