package org.primrosegauge.core.schedule.impl;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.schedule.SchedulerAction;
import org.primrosegauge.core.schedule.cfg.SchedulerSettings;
import org.primrosegauge.core.schedule.cfg.SchedulingPolicy;
import org.primrosegauge.core.site.DomainSwitch;
import org.primrosegauge.core.site.SiteConfiguration;

/**
 * State that the parts of one domain's scheduler share, and the actions of the present event.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class DomainState {

  /** Ended jobs remembered, so that late reports and repeated submissions find them. */
  private static final int MAX_FINAL_JOBS = 4_096;

  private static final Comparator<Gang> QUEUE_ORDER =
      Comparator.<Gang>comparingLong(gang -> gang.rank)
          .thenComparingLong(gang -> gang.submittedMillis)
          .thenComparingLong(gang -> gang.sequence);

  final FailureDomainId domain;
  final SchedulerSettings settings;
  final SchedulingPolicy policy;
  final Fleet fleet = new Fleet();
  final Map<JobId, Gang> gangs = new LinkedHashMap<>();
  final TreeSet<Gang> queue = new TreeSet<>(QUEUE_ORDER);

  /** Gangs with capacity planned, reserved, starting or stopping: those that time-outs concern. */
  final Set<Gang> inTransition = new LinkedHashSet<>();

  /** Gangs that hold or are promised capacity. */
  final Set<Gang> active = new LinkedHashSet<>();

  /** Accelerators held by each customer's gangs. */
  final Map<CustomerId, Integer> use = new HashMap<>();

  /** Most accelerators of each customer; 0 for no quota. */
  final Map<CustomerId, Integer> quotas = new HashMap<>();

  /** Jobs that entered the queue during the present event. */
  final List<Gang> fresh = new ArrayList<>();

  /** Gangs whose callers stated a deadline and that have not ended. */
  final Set<Gang> withDeadline = new LinkedHashSet<>();

  /** Tasks of earlier attempts that still run somewhere, by job. */
  final Map<JobId, Integer> orphans = new HashMap<>();

  final Map<JobReason, long[]> counters = new EnumMap<>(JobReason.class);
  SiteConfiguration configuration = SiteConfiguration.EMPTY;
  DomainSwitch domainSwitch;
  Term term = Term.NONE;
  long leaseUntilMillis = Long.MIN_VALUE;
  long rebuildUntilMillis = Long.MIN_VALUE;
  boolean rebuilding;

  /** Whether the keeper is about to close and starts nothing more. */
  boolean draining;

  boolean capacityChanged;
  boolean fleetChanged;
  boolean vacated;

  /** Whether the next pass may look for borrowers to preempt; granted by each tick. */
  boolean mayPreemptInPass;

  final GuaranteeLedger ledger = new GuaranteeLedger(this);
  private final ArrayDeque<JobId> finalJobs = new ArrayDeque<>();
  private long sequence;
  private List<SchedulerAction> actions = new ArrayList<>();

  DomainState(FailureDomainId domain, SchedulerSettings settings, SchedulingPolicy policy) {
    this.domain = domain;
    this.settings = settings;
    this.policy = policy;
    this.domainSwitch =
        new DomainSwitch(domain, false, DomainSwitch.RunningWorkPolicy.FINISH, Revision.NONE);
  }

  void emit(SchedulerAction action) {
    actions.add(action);
  }

  List<SchedulerAction> takeActions() {
    List<SchedulerAction> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }

  long nextSequence() {
    return sequence++;
  }

  void count(JobReason reason) {
    counters.computeIfAbsent(reason, key -> new long[1])[0]++;
  }

  boolean holdsLease(long nowMillis) {
    return nowMillis < leaseUntilMillis;
  }

  /** Tells whether anything may start now; asked right before each start. */
  boolean mayStart(long nowMillis) {
    return holdsLease(nowMillis) && !rebuilding && !draining && !domainSwitch.out();
  }

  /** Enters a phase and tells the owner of the job. */
  void enter(Gang gang, JobPhase phase, JobReason reason, long nowMillis) {
    gang.phase = phase;
    gang.reason = reason;
    gang.reasonSinceMillis = nowMillis;
    count(reason);
    emit(new SchedulerAction.JobChanged(gang.spec.id(), Math.max(gang.attempt, 1), phase, reason));
  }

  /** Puts a waiting gang before all that are not promoted. */
  void promote(Gang gang) {
    queue.remove(gang);
    gang.rank = Long.MIN_VALUE;
    gang.promoted = true;
    gang.wasPromoted = true;
    queue.add(gang);
  }

  /** Remembers an ended job for a while and forgets the oldest. */
  void retainFinal(Gang gang) {
    finalJobs.add(gang.spec.id());
    if (finalJobs.size() > MAX_FINAL_JOBS) {
      gangs.remove(finalJobs.remove());
    }
  }

  /** Books a gang that got workers. */
  void activate(Gang gang) {
    active.add(gang);
    gang.booked = gang.accelerators();
    use.merge(gang.spec.customer(), gang.booked, Integer::sum);
  }

  /** Gives back everything that a gang without running tasks holds. */
  void deactivate(Gang gang) {
    ledger.release(gang);
    if (active.remove(gang)) {
      use.merge(gang.spec.customer(), -gang.booked, Integer::sum);
    }
  }

  /** Puts a gang without tasks into the queue. */
  void enqueue(Gang gang, long nowMillis) {
    gang.tasks = new GangTask[0];
    if (gang.nextDemand != null) {
      gang.demand = gang.nextDemand;
      gang.nextDemand = null;
    }
    gang.rank = policy.order().rank(gang.view());
    gang.queuedMillis = nowMillis;
    gang.wasPromoted = false;
    gang.promoted = false;
    queue.add(gang);
    if (gang.spec.deadlineMillis() > 0) {
      withDeadline.add(gang);
    }
    fresh.add(gang);
  }
}
