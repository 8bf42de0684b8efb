package org.primrosegauge.core.schedule;

import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.schedule.cfg.SchedulerSettings;
import org.primrosegauge.core.schedule.cfg.SchedulingPolicy;
import org.primrosegauge.core.schedule.impl.SchedulerCore;
import org.primrosegauge.core.site.DomainSwitch;
import org.primrosegauge.core.site.SiteConfiguration;

/**
 * Scheduler of one failure domain, as its keeper runs it. Each method takes one event and the
 * present, and returns the actions to carry out, in order.
 *
 * <p>Not thread-safe: one thread owns it. It starts without a lease and emits no reservation and no
 * start before {@link #leaseGranted}. A new term begins a rebuild: for {@link
 * SchedulerSettings#rebuildMillis} the scheduler only listens to the tasks that workers announce.
 *
 * <p>Times are milliseconds of the caller's monotonic clock and never go back.
 *
 * @since 0.1
 */
public final class DomainScheduler {

  private final SchedulerCore core;

  /**
   * Creates a scheduler that knows no workers and no jobs.
   *
   * @since 0.1
   */
  public DomainScheduler(
      FailureDomainId domain, SchedulerSettings settings, SchedulingPolicy policy) {
    core = new SchedulerCore(domain, settings, policy);
  }

  // Keeper's lease

  /**
   * Takes over or renews the domain's lease. A stale term is ignored; a later term forgets all
   * placements and begins a rebuild.
   *
   * @param leaseUntilMillis time at which the lease ends; nothing starts from then on
   * @since 0.1
   */
  public List<SchedulerAction> leaseGranted(Term term, long leaseUntilMillis, long nowMillis) {
    core.leased(term, leaseUntilMillis, nowMillis);
    return core.dispatch(nowMillis);
  }

  /**
   * Takes over a job from the records of an earlier keeper; call it between {@link #leaseGranted}
   * and the end of the rebuild. A job already known is left as it is.
   *
   * @param attempt latest attempt recorded, 0 when none was
   * @param phase latest phase recorded
   * @since 0.1
   */
  public List<SchedulerAction> jobRestored(
      JobSpec job, int attempt, JobPhase phase, long nowMillis) {
    core.restore(job, attempt, phase, nowMillis);
    return core.dispatch(nowMillis);
  }

  // Jobs

  /**
   * Submits a job. A job that can never run fails at once with the reason; an id already known
   * changes nothing.
   *
   * @since 0.1
   */
  public List<SchedulerAction> submit(JobSpec job, long nowMillis) {
    core.submit(job, nowMillis);
    return core.dispatch(nowMillis);
  }

  /**
   * Cancels a job in any phase. A job whose tasks all ran to their end before the stop succeeds.
   *
   * @since 0.1
   */
  public List<SchedulerAction> cancel(JobId job, long nowMillis) {
    core.cancel(job, nowMillis);
    return core.dispatch(nowMillis);
  }

  // Workers

  /**
   * A worker announces itself, for the first time or again. The list of its tasks is taken as the
   * truth: a task known to run there and not listed is lost, so the worker's reports of ended tasks
   * have to be handed in first.
   *
   * @since 0.1
   */
  public List<SchedulerAction> workerAnnounced(WorkerDescription worker, long nowMillis) {
    core.workerAnnounced(worker, nowMillis);
    return core.dispatch(nowMillis);
  }

  /**
   * A worker reports usage and ended tasks.
   *
   * @since 0.1
   */
  public List<SchedulerAction> workerReported(WorkerReport report, long nowMillis) {
    core.workerReported(report, nowMillis);
    return core.dispatch(nowMillis);
  }

  /**
   * A worker is leaving: it gets no new work; its tasks run to their end.
   *
   * @since 0.1
   */
  public List<SchedulerAction> workerLeaving(TargetId target, long nowMillis) {
    core.workerLeaving(target, nowMillis);
    return core.dispatch(nowMillis);
  }

  /**
   * A worker is gone. Call it only after the leases of its tasks have run out, because its
   * repeatable work starts again elsewhere.
   *
   * @since 0.1
   */
  public List<SchedulerAction> workerExpired(TargetId target, long nowMillis) {
    core.workerExpired(target, nowMillis);
    return core.dispatch(nowMillis);
  }

  /**
   * A worker answers a {@link SchedulerAction.Reserve}.
   *
   * @since 0.1
   */
  public List<SchedulerAction> reserveReply(TaskId task, boolean accepted, long nowMillis) {
    core.reserveReply(task, accepted, nowMillis);
    return core.dispatch(nowMillis);
  }

  /**
   * A worker answers a {@link SchedulerAction.Start}; a refusal means that the task did not run.
   *
   * @since 0.1
   */
  public List<SchedulerAction> startReply(TaskId task, boolean accepted, long nowMillis) {
    core.startReply(task, accepted, nowMillis);
    return core.dispatch(nowMillis);
  }

  /**
   * A task ended. Reports of tasks not known are ignored.
   *
   * @since 0.1
   */
  public List<SchedulerAction> taskEnded(TaskId task, TaskOutcome outcome, long nowMillis) {
    core.taskEnded(task, outcome, nowMillis);
    return core.dispatch(nowMillis);
  }

  // Operators

  /**
   * Operators take the domain out or back in; an order with a lower revision is ignored.
   *
   * @since 0.1
   */
  public List<SchedulerAction> domainSwitched(DomainSwitch order, long nowMillis) {
    core.switched(order, nowMillis);
    return core.dispatch(nowMillis);
  }

  /**
   * A configuration is in force: customers, quotas, guarantees and expected capacity.
   *
   * @since 0.1
   */
  public List<SchedulerAction> configurationChanged(
      SiteConfiguration configuration, long nowMillis) {
    core.configured(configuration);
    return core.dispatch(nowMillis);
  }

  // Shutdown

  /**
   * Begins nothing new from now on: gangs that were not started are freed as their workers answer,
   * gangs that are being started go on. Cannot be taken back.
   *
   * @since 0.1
   */
  public List<SchedulerAction> drain(long nowMillis) {
    core.drain();
    return core.dispatch(nowMillis);
  }

  /**
   * Tells whether a gang is between its first start and the answer to its last.
   *
   * @since 0.1
   */
  public boolean isStarting() {
    return core.isStarting();
  }

  // Time and queries

  /**
   * Acts on time-outs, deadlines and the end of a rebuild; call it a few times a second.
   *
   * @since 0.1
   */
  public List<SchedulerAction> tick(long nowMillis) {
    core.tick(nowMillis);
    return core.dispatch(nowMillis);
  }

  /**
   * Tells where a job stands, what it waits for and behind which job; empty when it is not known.
   *
   * @since 0.1
   */
  public Optional<Explanation> explain(JobId job, long nowMillis) {
    return core.explain(job, nowMillis);
  }

  /**
   * Returns the free capacity and how scattered it is.
   *
   * @since 0.1
   */
  public FleetCapacity capacity() {
    return core.capacity();
  }

  /**
   * Returns how often a reason was given since the scheduler was created.
   *
   * @since 0.1
   */
  public long count(JobReason reason) {
    return core.count(reason);
  }
}
