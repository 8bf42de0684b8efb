package org.primrosegauge.core.schedule.impl;

import java.util.HashSet;
import java.util.Set;
import org.primrosegauge.core.JobId;

/**
 * Tells a bad worker from a bad job. Only different jobs failing in a row count against a worker,
 * so one bad job costs each worker at most one mark. A success clears all marks.
 *
 * @since 0.1
 */
final class WorkerHealth {

  private static final int MAX_DOUBLINGS = 6;

  private final Set<JobId> failedJobs = new HashSet<>();
  private long asideUntilMillis = Long.MIN_VALUE;
  private int timesAside;
  private boolean probing;

  /** Tells whether the worker may get work; after its time aside it gets one task as a probe. */
  boolean isUsable(long nowMillis, int heldTasks) {
    if (nowMillis < asideUntilMillis) {
      return false;
    }
    return !probing || heldTasks == 0;
  }

  boolean isProbing() {
    return probing;
  }

  void succeeded() {
    failedJobs.clear();
    probing = false;
    timesAside = 0;
  }

  /** Forgets the mark of a job that failed on other workers too. */
  void forgive(JobId job) {
    failedJobs.remove(job);
  }

  /** Counts a failure and returns whether the worker was set aside now. */
  boolean failed(JobId job, int suspectJobs, long asideMillis, long nowMillis) {
    failedJobs.add(job);
    if (!probing && failedJobs.size() < suspectJobs) {
      return false;
    }
    asideUntilMillis = nowMillis + (asideMillis << Math.min(timesAside, MAX_DOUBLINGS));
    timesAside++;
    probing = true;
    return true;
  }
}
