package org.primrosegauge.core.scope;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.primrosegauge.core.job.Resources;

/**
 * Decides whether a job is turned away because its turn would come when its result is worth nothing
 * any more.
 *
 * <p>Answers a backlog that is longer than callers' patience: they learn at once that their job has
 * not run, and when to come back, instead of waiting in vain. They come back spread over time, when
 * the backlog will have shrunk.
 *
 * <p>Stateless.
 *
 * @since 0.3
 */
public final class ScopeAdmission {

  /** An objective missed by less than this factor is still worth a part. */
  private static final int MAX_OVERRUN_FACTOR = 3;

  /** Part of the estimated wait that counts: declared times are rough, and a refusal is final. */
  private static final double WAIT_ESTIMATE_WEIGHT = 0.5;

  /** Part of the time until the return over which those who are turned away are spread. */
  private static final double JITTER_FRACTION = 0.25;

  private static final long MIN_RETRY_AFTER_MILLIS = 1_000;
  private static final long MAX_RETRY_AFTER_MILLIS = 30_000;

  private ScopeAdmission() {}

  /**
   * Returns when a caller should come back with a job, in milliseconds from now; empty when the job
   * is to be accepted.
   *
   * @param ledger jobs that were accepted before and workers that are there
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
    long chain = job.criticalPathMillis();
    long allowed = (long) (queue.get().slackFactor() * chain) + queue.get().latencyMillis();
    double wait = WAIT_ESTIMATE_WEIGHT * estimatedWaitMillis(job, queue.get(), ledger);
    double tooLong = wait + chain - MAX_OVERRUN_FACTOR * (double) allowed;
    return tooLong <= 0
        ? OptionalLong.empty()
        : OptionalLong.of(withJitter(job, tooLong / WAIT_ESTIMATE_WEIGHT));
  }

  private static boolean hasGuarantee(ScopeJob job, QueueSpec queue, ScopeLedger ledger) {
    return queue.priority() == 0
        && job.customer() != null
        && ledger.configuration().guaranteedAccelerators(job.customer()) > 0;
  }

  private static long withJitter(ScopeJob job, double millis) {
    double later = new SplittableRandom(job.id().hashCode()).nextDouble(JITTER_FRACTION);
    double back = Math.max(MIN_RETRY_AFTER_MILLIS, millis) * (1 + later);
    return (long) Math.min(MAX_RETRY_AFTER_MILLIS, back);
  }

  /** Returns how long the workers need for what waits before a new job, in milliseconds. */
  private static double estimatedWaitMillis(ScopeJob job, QueueSpec queue, ScopeLedger ledger) {
    Resources capacity = ledger.capacity(job.pool());
    if (capacity.equals(Resources.NONE)) {
      return 0;
    }
    PendingWork before = ledger.pendingWork(job.pool(), queue.priority());
    return Math.max(
        before.acceleratorMillis() / Math.max(1, capacity.accelerators()),
        before.milliCoreMillis() / Math.max(1, capacity.milliCores()));
  }
}
