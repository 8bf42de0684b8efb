package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.schedule.EndedTask;
import org.primrosegauge.core.schedule.Explanation;
import org.primrosegauge.core.schedule.FleetCapacity;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.core.schedule.StopMode;
import org.primrosegauge.core.schedule.TaskOutcome;
import org.primrosegauge.core.schedule.TaskUsage;
import org.primrosegauge.core.schedule.WorkerDescription;
import org.primrosegauge.core.schedule.WorkerReport;
import org.primrosegauge.core.schedule.cfg.SchedulerSettings;
import org.primrosegauge.core.schedule.cfg.SchedulingPolicy;
import org.primrosegauge.core.site.Customer;
import org.primrosegauge.core.site.DomainSwitch;
import org.primrosegauge.core.site.SiteConfiguration;

/**
 * Applies events to the state of a domain, then plans what can start.
 *
 * <p>Not thread-safe; owned by one scheduler.
 *
 * @since 0.1
 */
public final class SchedulerCore {

  private final DomainState state;
  private final GangSettlement settlement;
  private final GangLifecycle lifecycle;
  private final Rebuild rebuild;
  private final WorkerEvents workerEvents;
  private final Admission admission;
  private final Dispatcher dispatcher;
  private final Explainer explainer;
  private final MemoryGuard memoryGuard;

  /** Creates the core of a scheduler that has no workers and holds no lease yet. */
  public SchedulerCore(
      FailureDomainId domain, SchedulerSettings settings, SchedulingPolicy policy) {
    state = new DomainState(domain, settings, policy);
    settlement = new GangSettlement(state);
    lifecycle = new GangLifecycle(state, settlement);
    rebuild = new Rebuild(state, lifecycle, settlement);
    workerEvents = new WorkerEvents(state, lifecycle, rebuild);
    admission = new Admission(state);
    dispatcher = new Dispatcher(state, lifecycle);
    explainer = new Explainer(state);
    memoryGuard = new MemoryGuard(state, lifecycle);
  }

  /** Ends the handling of an event: plans what can start and hands out the actions. */
  public List<SchedulerAction> dispatch(long nowMillis) {
    dispatcher.run(nowMillis);
    return state.takeActions();
  }

  /** Notes a lease; a later term begins a rebuild. */
  public void leased(Term term, long leaseUntilMillis, long nowMillis) {
    if (state.term.isAfter(term)) {
      return;
    }
    state.leaseUntilMillis = leaseUntilMillis;
    state.capacityChanged = true;
    if (term.isAfter(state.term)) {
      state.term = term;
      rebuild.begin(nowMillis);
    }
  }

  /** Takes over a job from the records of an earlier keeper. */
  public void restore(JobSpec job, int attempt, JobPhase phase, long nowMillis) {
    Gang known = state.gangs.get(job.id());
    if (known != null) {
      rebuild.recorded(known, attempt, phase);
      return;
    }
    Gang gang = new Gang(job, state.nextSequence(), nowMillis);
    gang.attempt = attempt;
    state.gangs.put(job.id(), gang);
    if (phase.isFinal()) {
      gang.phase = phase;
    } else if (phase.ordinal() >= JobPhase.STARTING.ordinal() && state.rebuilding) {
      gang.unconfirmed = true;
      rebuild.recorded(gang, attempt, phase);
    } else {
      state.enqueue(gang, nowMillis);
    }
  }

  /** Accepts or refuses a job; the same id again changes nothing. */
  public void submit(JobSpec job, long nowMillis) {
    if (state.gangs.containsKey(job.id())) {
      return;
    }
    Gang gang = new Gang(job, state.nextSequence(), nowMillis);
    state.gangs.put(job.id(), gang);
    Optional<JobReason> refusal = admission.refusal(job);
    if (refusal.isPresent()) {
      settlement.finish(gang, JobPhase.FAILED, refusal.get(), nowMillis);
      return;
    }
    state.enter(gang, JobPhase.QUEUED, JobReason.ACCEPTED, nowMillis);
    state.enqueue(gang, nowMillis);
  }

  /** Cancels a job in any phase. */
  public void cancel(JobId job, long nowMillis) {
    Gang gang = state.gangs.get(job);
    if (gang != null && !gang.phase.isFinal()) {
      gang.cancelled = true;
      giveUp(gang, JobPhase.CANCELLED, JobReason.CANCELLED, nowMillis);
    }
  }

  private void giveUp(Gang gang, JobPhase phase, JobReason why, long nowMillis) {
    if (gang.unconfirmed) {
      return;
    }
    boolean started = gang.phase.ordinal() >= JobPhase.STARTING.ordinal();
    if (started) {
      lifecycle.stop(gang, StopMode.STOP, why, nowMillis);
    } else {
      lifecycle.free(gang);
      settlement.finish(gang, phase, why, nowMillis);
    }
  }

  /** Notes a worker's answer to a reservation. */
  public void reserveReply(TaskId id, boolean accepted, long nowMillis) {
    Gang gang = state.gangs.get(id.job());
    GangTask task = gang == null || gang.unconfirmed ? null : gang.task(id);
    if (task == null || !task.isBeforeStart()) {
      return;
    }
    if (accepted) {
      lifecycle.reserved(gang, task, nowMillis);
    } else {
      lifecycle.abandon(gang, JobReason.RESERVE_REFUSED, nowMillis);
    }
  }

  /** Notes a worker's answer to a start. */
  public void startReply(TaskId id, boolean accepted, long nowMillis) {
    Gang gang = state.gangs.get(id.job());
    GangTask task = gang == null || gang.unconfirmed ? null : gang.task(id);
    if (task == null || !task.maybeRuns()) {
      return;
    }
    if (accepted) {
      lifecycle.started(gang, task, nowMillis);
    } else {
      lifecycle.lost(gang, task, JobReason.START_REFUSED, nowMillis);
    }
  }

  /** Notes the end of a task. */
  public void taskEnded(TaskId id, TaskOutcome outcome, long nowMillis) {
    workerEvents.taskEnded(id, outcome, nowMillis);
  }

  /** Notes a worker that announces itself, new or known. */
  public void workerAnnounced(WorkerDescription description, long nowMillis) {
    workerEvents.announced(description, nowMillis);
  }

  /** Notes a worker's periodic report. */
  public void workerReported(WorkerReport report, long nowMillis) {
    for (EndedTask ended : report.ended()) {
      workerEvents.taskEnded(ended.task(), ended.outcome(), nowMillis);
    }
    for (TaskUsage usage : report.usage()) {
      memoryGuard.check(usage, nowMillis);
    }
  }

  /** Notes that a worker gets no new work. */
  public void workerLeaving(TargetId target, long nowMillis) {
    workerEvents.leaving(target, nowMillis);
  }

  /** Notes that a worker is gone and its tasks with it. */
  public void workerExpired(TargetId target, long nowMillis) {
    workerEvents.expired(target, nowMillis);
  }

  /** Applies an order of the operators for this domain. */
  public void switched(DomainSwitch order, long nowMillis) {
    state.domainSwitch = state.domainSwitch.merge(order);
    state.capacityChanged = true;
    if (!state.domainSwitch.out()) {
      return;
    }
    for (Gang gang : new ArrayList<>(state.gangs.values())) {
      leaveDomain(gang, state.domainSwitch.work(), nowMillis);
    }
  }

  private void leaveDomain(Gang gang, DomainSwitch.RunningWorkPolicy work, long nowMillis) {
    if (gang.unconfirmed || gang.tasks.length == 0 || gang.phase.isFinal()) {
      return;
    }
    if (gang.phase.ordinal() < JobPhase.STARTING.ordinal()) {
      lifecycle.abandon(gang, JobReason.DOMAIN_OUT, nowMillis);
    } else if (work == DomainSwitch.RunningWorkPolicy.STOP) {
      lifecycle.stop(gang, StopMode.STOP, JobReason.DOMAIN_OUT, nowMillis);
    } else if (work == DomainSwitch.RunningWorkPolicy.CHECKPOINT && gang.spec.preemptible()) {
      lifecycle.stop(gang, StopMode.CHECKPOINT, JobReason.DOMAIN_OUT, nowMillis);
    }
  }

  /** Applies a configuration. */
  public void configured(SiteConfiguration configuration) {
    state.configuration = configuration;
    state.ledger.configure();
    state.quotas.clear();
    for (Customer customer : configuration.customers()) {
      state.quotas.put(customer.id(), customer.quotaAccelerators());
    }
    state.fleetChanged = true;
    state.capacityChanged = true;
  }

  /** Starts nothing more from now on. */
  public void drain() {
    state.draining = true;
  }

  /** Tells whether starts of a gang are under way. */
  public boolean isStarting() {
    return state.inTransition.stream().anyMatch(gang -> gang.phase == JobPhase.STARTING);
  }

  /** Acts on everything whose time has come. */
  public void tick(long nowMillis) {
    rebuild.finishWhenDue(nowMillis);
    for (Gang gang : new ArrayList<>(state.inTransition)) {
      lifecycle.checkTime(gang, nowMillis);
    }
    for (Gang gang : new ArrayList<>(state.withDeadline)) {
      checkDeadline(gang, nowMillis);
    }
    promoteLongWaiting(nowMillis);
    state.capacityChanged = true;
    state.mayPreemptInPass = true;
  }

  /** Puts jobs whose wait has reached its bound before all others. */
  private void promoteLongWaiting(long nowMillis) {
    if (!state.policy.boundsWait()) {
      return;
    }
    for (Gang gang : new ArrayList<>(state.queue)) {
      long waited = nowMillis - gang.queuedMillis;
      if (!gang.promoted && waited >= state.settings.waitBoundMillis()) {
        state.promote(gang);
      }
    }
  }

  private void checkDeadline(Gang gang, long nowMillis) {
    if (gang.phase.isFinal()) {
      state.withDeadline.remove(gang);
    } else if (nowMillis - gang.submittedMillis >= gang.spec.deadlineMillis()) {
      giveUp(gang, JobPhase.FAILED, JobReason.DEADLINE, nowMillis);
    }
  }

  /** Tells where a job stands and what it waits for. */
  public Optional<Explanation> explain(JobId job, long nowMillis) {
    return explainer.explain(job, nowMillis);
  }

  /** Returns the free capacity. */
  public FleetCapacity capacity() {
    return state.fleet.capacity();
  }

  /** Returns how often a reason was given. */
  public long count(JobReason reason) {
    long[] counter = state.counters.get(reason);
    return counter == null ? 0 : counter[0];
  }
}
