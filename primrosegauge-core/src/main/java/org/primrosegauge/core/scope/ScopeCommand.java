package org.primrosegauge.core.scope;

import java.util.List;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;

/**
 * Entry of the replicated log that changes a {@link ScopeLedger}.
 *
 * @since 0.2
 */
public sealed interface ScopeCommand {

  /**
   * Accepts a configuration if its revision is higher than the one in force.
   *
   * @param configuration configuration
   * @param content text that the operators sent, for reading it back
   * @since 0.2
   */
  record Configure(ScopeConfiguration configuration, String content) implements ScopeCommand {}

  /**
   * Accepts a job; an id already known changes nothing.
   *
   * @param job job
   * @since 0.2
   */
  record Submit(ScopeJob job) implements ScopeCommand {}

  /**
   * Cancels a job.
   *
   * @param job job
   * @param atMillis when, in milliseconds since 1970
   * @since 0.2
   */
  record Cancel(JobId job, long atMillis) implements ScopeCommand {}

  /**
   * Takes a failure domain out, or back in.
   *
   * @param domain failure domain
   * @param isOut whether nothing may start there
   * @since 0.2
   */
  record SwitchDomain(FailureDomainId domain, boolean isOut) implements ScopeCommand {}

  /**
   * Records where tasks are about to be started, before the workers are told.
   *
   * @param placements placements
   * @since 0.2
   */
  record Place(List<Placement> placements) implements ScopeCommand {

    /** Copies the list. */
    public Place {
      placements = List.copyOf(placements);
    }
  }

  /**
   * Records ends of runs on one lifetime of a worker, before the worker may forget them.
   *
   * @param worker worker and lifetime
   * @param lastEnd number of the last end that the worker may forget; 0 when none
   * @param ends ends
   * @param atMillis when, in milliseconds since 1970
   * @since 0.2
   */
  record RecordEnds(WorkerKey worker, long lastEnd, List<RunEnd> ends, long atMillis)
      implements ScopeCommand {

    /** Copies the list. */
    public RecordEnds {
      ends = List.copyOf(ends);
    }
  }

  /**
   * Records a lifetime of a worker, which ends an earlier one of the same worker or address.
   *
   * @param worker what the worker announced
   * @since 0.2
   */
  record SeeWorker(WorkerInfo worker) implements ScopeCommand {}

  /**
   * Records that a lifetime of a worker is over, and with it all its runs.
   *
   * @param worker worker and lifetime
   * @since 0.2
   */
  record ForgetWorker(WorkerKey worker) implements ScopeCommand {}

  /**
   * Records that a worker leaves, or that it stays after all, before it is told that this is known.
   *
   * @param worker worker and lifetime
   * @param isDraining whether it leaves
   * @since 0.3
   */
  record SwitchDrain(WorkerKey worker, boolean isDraining) implements ScopeCommand {}

  /**
   * Records that the leases of workers are renewed no more, or are again. The leader that proposes
   * it renews none from its proposal on, or until it is applied.
   *
   * @param workers workers and lifetimes
   * @param isSuspended whether they are renewed no more
   * @since 0.3
   */
  record SwitchRenewal(List<WorkerKey> workers, boolean isSuspended) implements ScopeCommand {

    /** Copies the list. */
    public SwitchRenewal {
      workers = List.copyOf(workers);
    }
  }
}
