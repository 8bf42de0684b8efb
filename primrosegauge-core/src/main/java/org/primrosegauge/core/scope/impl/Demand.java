package org.primrosegauge.core.scope.impl;

import java.util.List;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepRecord;
import org.primrosegauge.core.scope.StepSpec;

/**
 * A step whose turn has come and that still needs workers.
 *
 * @param key step
 * @param job its job
 * @param record what the ledger holds of it
 * @param tasks indexes of the tasks that need a worker
 * @param priority priority of its queue, 0 first
 * @param lateness 0 while its objective can be met, 1 while it counts as late, 2 beyond that
 * @param objectiveMillis time of day by which its job should be done
 * @param waited how long it has been waiting
 */
record Demand(
    StepKey key,
    JobEntry job,
    StepRecord record,
    List<Integer> tasks,
    int priority,
    int lateness,
    long objectiveMillis,
    StepWait stepWait) {

  StepSpec spec() {
    return record.spec();
  }

  /** Returns the number of the next run: one for all members of a gang. */
  int nextAttempt(int index) {
    return 1 + (spec().gang() ? record.lastAttempt() : record.task(index).lastAttempt());
  }
}
