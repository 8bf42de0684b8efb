package org.primrosegauge.core.scope.impl;

import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.Recurrence;

/**
 * Computes by when jobs should be done, from their queues and the run times that are expected.
 *
 * <p>Stateless apart from the state that it reads. Not thread-safe.
 */
final class JobObjectives {

  private final ScopeState state;

  JobObjectives(ScopeState state) {
    this.state = state;
  }

  /** Returns the time that a job may take from its submission or due time, in milliseconds. */
  long allowedMillis(JobEntry job) {
    long criticalPath = job.job().criticalPathMillis(step -> state.expectedMillis(job, step));
    return state
        .ledger
        .configuration()
        .queue(job.job().queue())
        .map(queue -> queue.allowedMillis(criticalPath))
        .orElse(criticalPath);
  }

  /**
   * Returns the time of day from which the time of an occurrence counts, in milliseconds since
   * 1970.
   */
  static long beginMillis(JobEntry job, int occurrence) {
    Recurrence recurrence = job.job().recurrence();
    boolean isOnce = recurrence.equals(Recurrence.NONE);
    return isOnce ? job.job().submittedMillis() : recurrence.dueMillis(occurrence);
  }
}
