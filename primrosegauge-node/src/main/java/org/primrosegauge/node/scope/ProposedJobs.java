package org.primrosegauge.node.scope;

import java.util.HashMap;
import java.util.Map;
import org.primrosegauge.core.JobId;

/**
 * Jobs that the leader has proposed in its term and of which the log has neither applied nor
 * refused each proposal: they may be accepted yet.
 *
 * <p>Used on the log thread.
 */
final class ProposedJobs {

  /** Proposals on their way; a caller that tries again may have several of one job. */
  private final Map<JobId, Integer> proposals = new HashMap<>();

  boolean contains(JobId job) {
    return proposals.containsKey(job);
  }

  /** Notes that a job goes to the log. */
  void proposed(JobId job) {
    proposals.merge(job, 1, Integer::sum);
  }

  /** Notes that a proposal has failed. */
  void failed(JobId job) {
    proposals.computeIfPresent(job, (known, count) -> count == 1 ? null : count - 1);
  }

  /** Notes that the ledger holds a job: later proposals of it change nothing. */
  void applied(JobId job) {
    proposals.remove(job);
  }

  /** Forgets all, as their term is over. */
  void clear() {
    proposals.clear();
  }
}
