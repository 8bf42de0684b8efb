package org.primrosegauge.node.scope;

import java.util.HashMap;
import java.util.Map;
import org.primrosegauge.core.JobId;

/**
 * Jobs with proposals in flight, that is, which the leader has proposed in its term and the log has
 * neither applied nor failed. Such jobs may still be accepted.
 *
 * <p>Used on the log thread.
 */
final class ProposedJobs {

  /** Number of proposals in flight by job; a caller that retries may cause several for one job. */
  private final Map<JobId, Integer> proposals = new HashMap<>();

  boolean contains(JobId job) {
    return proposals.containsKey(job);
  }

  /** Records that a job is proposed to the log. */
  void proposed(JobId job) {
    proposals.merge(job, 1, Integer::sum);
  }

  /** Records that a proposal has failed. */
  void failed(JobId job) {
    proposals.computeIfPresent(job, (known, count) -> count == 1 ? null : count - 1);
  }

  /** Records that a job is in the ledger: other proposals of it have no effect. */
  void applied(JobId job) {
    proposals.remove(job);
  }

  /** Removes all jobs; called when their term has ended. */
  void clear() {
    proposals.clear();
  }
}
