package org.primrosegauge.core.scope;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.primrosegauge.core.job.Resources;

/**
 * Load shedding: rejects a job that would complete so late that its result would be of no use.
 *
 * <p>Under a backlog that is longer than callers are willing to wait, callers learn immediately
 * that their job was not accepted and when to retry, instead of waiting in vain. The retry times
 * are set to when the backlog will have shrunk, and spread over time.
 *
 * <p>Stateless.
 *
 * @since 0.3
 */
public final class ScopeAdmission {

  /**
   * Fraction of the estimated wait that is considered: declared run times are rough estimates, and
   * a rejection is final.
   */
  private static final double WAIT_ESTIMATE_WEIGHT = 0.5;

  /** Fraction of the retry delay over which the retries of rejected callers are spread. */
  private static final double JITTER_FRACTION = 0.25;

  private static final long MIN_RETRY_AFTER_MILLIS = 1_000;
  private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

  private ScopeAdmission() {}

  /**
   * Returns the delay after which the caller should retry to submit a job, in milliseconds; empty
   * if the job is to be accepted.
   *
   * @param job job that is being submitted
   * @param ledger jobs accepted so far and known workers
   * @since 0.3
   */
  public static OptionalLong retryAfterMillis(ScopeJob job, ScopeLedger ledger) {
    Optional<QueueSpec> queue = ledger.configuration().queue(job.queue());
    boolean hasObjective =
        queue.isPresent()
            && job.recurrence().equals(Recurrence.NONE)
            && job.steps().stream().noneMatch(StepSpec::longRunning);
    if (!hasObjective || hasGuarantee(job, queue.get(), ledger)) {
      return OptionalLong.empty();
    }
    long criticalPath =
        job.criticalPathMillis(
            step -> ledger.runTimes().expectedMillis(job.queue(), step.estimatedMillis()));
    long allowed = queue.get().allowedMillis(criticalPath);
    double wait = WAIT_ESTIMATE_WEIGHT * estimatedWaitMillis(job, queue.get(), ledger);
    double excess = wait + criticalPath - QueueSpec.LATE_FACTOR * (double) allowed;
    return excess <= 0
        ? OptionalLong.empty()
        : OptionalLong.of(withJitter(job, excess / WAIT_ESTIMATE_WEIGHT));
  }

  private static boolean hasGuarantee(ScopeJob job, QueueSpec queue, ScopeLedger ledger) {
    return queue.priority() == 0
        && job.customer() != null
        && ledger.configuration().guaranteedAccelerators(job.customer()) > 0;
  }

  private static long withJitter(ScopeJob job, double millis) {
    double jitter = new SplittableRandom(job.id().hashCode()).nextDouble(JITTER_FRACTION);
    double millisWithJitter = Math.max(MIN_RETRY_AFTER_MILLIS, millis) * (1 + jitter);
    return (long) Math.min(MAX_RETRY_AFTER_MILLIS, millisWithJitter);
  }

  /** Returns the estimated time that the workers need for the work queued ahead of a job. */
  private static double estimatedWaitMillis(ScopeJob job, QueueSpec queue, ScopeLedger ledger) {
    Resources capacity = ledger.capacity(job.pool());
    if (capacity.equals(Resources.NONE)) {
      return 0;
    }
    PendingWork pending = ledger.pendingWork(job.pool(), queue.priority());
    return Math.max(
        pending.acceleratorMillis() / Math.max(1, capacity.accelerators()),
        pending.milliCoreMillis() / Math.max(1, capacity.milliCores()));
  }
}
