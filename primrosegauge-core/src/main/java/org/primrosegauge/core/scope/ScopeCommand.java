package org.primrosegauge.core.scope;

import java.util.List;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;

/**
 * Command in the replicated log that changes a {@link ScopeLedger}.
 *
 * @since 0.2
 */
public sealed interface ScopeCommand {

  /**
   * Puts a configuration in force if its revision is higher than that of the current one.
   *
   * @param configuration parsed configuration; null in an entry of the log, which holds the text
   *     only
   * @param content text of the configuration as submitted by the operators, returned on reads
   * @since 0.2
   */
  record Configure(ScopeConfiguration configuration, String content) implements ScopeCommand {}

  /**
   * Accepts a job. Idempotent: has no effect if the job id is already known.
   *
   * @param job job
   * @since 0.2
   */
  record Submit(ScopeJob job) implements ScopeCommand {}

  /**
   * Cancels a job. If the job is unknown, its id is refused for a while, as its submission may
   * follow in the log.
   *
   * @param job job
   * @param atMillis time of the cancellation, in milliseconds since 1970
   * @param queue queue that the caller's path names; null in entries of releases before 0.4, which
   *     cancel the job whatever its queue and customer, and have no effect on an unknown one
   * @param customer customer of the caller's key; null without a known key on a public queue
   * @since 0.2
   */
  record Cancel(JobId job, long atMillis, QueueName queue, CustomerId customer)
      implements ScopeCommand {

    /** Creates a command as in an entry of a release before 0.4. */
    public Cancel(JobId job, long atMillis) {
      this(job, atMillis, null, null);
    }
  }

  /**
   * Takes a failure domain out of service, or back into service.
   *
   * @param domain failure domain
   * @param isOut whether the domain is out of service, so that no run may start there
   * @since 0.2
   */
  record SwitchDomain(FailureDomainId domain, boolean isOut) implements ScopeCommand {}

  /**
   * Records placements of runs, before the start requests are sent to the workers.
   *
   * @param placements runs and their workers
   * @since 0.2
   */
  record Place(List<Placement> placements) implements ScopeCommand {

    /** Copies the list. */
    public Place {
      placements = List.copyOf(placements);
    }
  }

  /**
   * Records the ends of runs on a worker, before the worker is allowed to discard them.
   *
   * @param worker worker incarnation
   * @param lastEnd number of the last end that the worker may discard; 0 if none
   * @param ends ended runs
   * @param atMillis time of the recording, in milliseconds since 1970
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
   * Registers a worker incarnation, which ends earlier ones with the same target or address.
   *
   * @param worker announcement of the worker
   * @since 0.2
   */
  record SeeWorker(WorkerInfo worker) implements ScopeCommand {}

  /**
   * Removes a worker incarnation that has ended, and closes all its open runs as lost.
   *
   * @param worker worker incarnation
   * @since 0.2
   */
  record ForgetWorker(WorkerKey worker) implements ScopeCommand {}

  /**
   * Records that a worker is draining, or that its drain was cancelled, before the worker's
   * heartbeat is acknowledged.
   *
   * @param worker worker incarnation
   * @param isDraining whether the worker is draining
   * @param sequence sequence number of that heartbeat; 0 in entries of releases before 0.4
   * @since 0.3
   */
  record SwitchDrain(WorkerKey worker, boolean isDraining, long sequence) implements ScopeCommand {}

  /**
   * Suspends or resumes the renewal of workers' leases. The leader that proposes a suspension stops
   * renewing when it proposes the command; after proposing a resumption it starts to renew again
   * only once the command is applied.
   *
   * @param workers worker incarnations
   * @param isSuspended whether renewal is suspended
   * @since 0.3
   */
  record SwitchRenewal(List<WorkerKey> workers, boolean isSuspended) implements ScopeCommand {

    /** Copies the list. */
    public SwitchRenewal {
      workers = List.copyOf(workers);
    }
  }
}
