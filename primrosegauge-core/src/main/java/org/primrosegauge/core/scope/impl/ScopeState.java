package org.primrosegauge.core.scope.impl;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeEvent;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.TaskKey;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/**
 * State that the parts of a scope scheduler share during one term.
 *
 * <p>Not thread-safe.
 */
public final class ScopeState {

  private static final long PERCENT = 100;

  /** Priority of work that may stop other work. */
  static final int URGENT = 0;

  final ScopeLedger ledger;
  final ScopeSettings settings;
  final Map<WorkerKey, WorkerSession> sessions = new LinkedHashMap<>();
  final Map<WorkerKey, WorkerHeartbeat> unregistered = new HashMap<>();
  final Map<RunId, RunState> runs = new LinkedHashMap<>();
  final Map<StepKey, Reservation> reservations = new LinkedHashMap<>();
  final Map<StepKey, Long> notBefore = new HashMap<>();
  final Map<StepKey, Set<WorkerKey>> failedWorkers = new HashMap<>();
  private final WorkerIndex sessionIndex = new WorkerIndex();
  private final Map<StepKey, Map<RunId, RunState>> runsByStep = new HashMap<>();
  private final Map<JobId, Map<RunId, RunState>> runsByJob = new HashMap<>();

  /** Sessions at which a look may be due. */
  final PollQueue pollQueue = new PollQueue();

  /** Sessions in the order in which it is due to ask whether they have been silent for long. */
  final TimerQueue<WorkerSession> silenceChecks = new TimerQueue<>();

  /** Sessions whose last look was not answered. */
  final Set<WorkerSession> unresponsive = new LinkedHashSet<>();

  /** Runs that are to stop and whose workers have not said that they do. */
  final Set<RunState> stopping = new LinkedHashSet<>();

  /** Steps of which runs may have to stop because what they belong to is over or broken. */
  final Set<StepKey> stepsToCheck = new LinkedHashSet<>();

  /** Runs that never started, whose end the log did not take. */
  final Set<RunState> unrecordedEnds = new LinkedHashSet<>();

  /** Runs by the time at which they stand still, unless they have moved on until then. */
  final TimerQueue<RunState> stallChecks = new TimerQueue<>();

  /** Jobs whose steps may wait for other workers than before. */
  final Set<JobId> changedJobs = new LinkedHashSet<>();

  final UrgentUsage urgentUsage = new UrgentUsage(this);
  private final Map<StepKey, Integer> proposedRuns = new HashMap<>();
  private final Set<TaskKey> proposedTasks = new HashSet<>();
  private List<ScopeAction> actions = new ArrayList<>();
  private long examined;
  Term term = Term.NONE;
  boolean dirty;

  /** Creates the state of a scheduler that does not lead. */
  public ScopeState(ScopeLedger ledger, ScopeSettings settings) {
    this.ledger = ledger;
    this.settings = settings;
  }

  void clear() {
    sessions.clear();
    sessionIndex.clear();
    unregistered.clear();
    runs.clear();
    runsByStep.clear();
    runsByJob.clear();
    reservations.clear();
    notBefore.clear();
    changedJobs.clear();
    urgentUsage.clear();
    failedWorkers.clear();
    pollQueue.clear();
    silenceChecks.clear();
    unresponsive.clear();
    stopping.clear();
    stepsToCheck.clear();
    unrecordedEnds.clear();
    stallChecks.clear();
    proposedRuns.clear();
    proposedTasks.clear();
    actions = new ArrayList<>();
  }

  /** Returns the priority of a job's queue; the lowest when the queue is gone. */
  int priorityOf(JobEntry job) {
    return ledger.configuration().priorityOf(job.job().queue());
  }

  // Cost

  /** Counts workers, runs, jobs or tasks that a decision has looked at. */
  void examined(int count) {
    examined += count;
  }

  /** Returns how many workers, runs, jobs and tasks decisions have looked at so far. */
  long examined() {
    return examined;
  }

  // Proposed placements

  boolean isProposed(StepKey step) {
    return proposedRuns.containsKey(step);
  }

  boolean isProposed(TaskKey task) {
    return proposedTasks.contains(task);
  }

  void addProposed(RunState run) {
    proposedTasks.add(run.id.task());
    proposedRuns.merge(run.id.task().stepKey(), 1, Integer::sum);
    add(run);
  }

  void removeProposed(RunId run) {
    if (proposedTasks.remove(run.task())) {
      changedJobs.add(run.task().job());
      proposedRuns.computeIfPresent(
          run.task().stepKey(), (step, count) -> count == 1 ? null : count - 1);
    }
  }

  // Sessions

  /** Tells whether a worker that does not answer has its lease renewed by the looks at it. */
  boolean renewsUnresponsive(WorkerSession worker, long nowMillis) {
    return nowMillis - worker.lastResponseMillis + settings.leaseMillis()
        <= settings.silentRenewalMillis();
  }

  /** Returns the time that a lease may last on the slowest clock allowed, in milliseconds. */
  long maxLeaseMillis() {
    return settings.leaseMillis() * PERCENT / (PERCENT - settings.maxClockDriftPercent());
  }

  void addSession(WorkerSession session) {
    sessions.put(session.info.key(), session);
    sessionIndex.add(session.info);
    silenceChecks.add(session, session.lastResponseMillis + maxLeaseMillis());
    pollQueue.enqueue(session);
  }

  void removeSession(WorkerSession session) {
    sessions.remove(session.info.key());
    sessionIndex.remove(session.info);
    unresponsive.remove(session);
  }

  /** Returns a copy of the sessions of a target. */
  List<WorkerSession> sessionsOf(TargetId target) {
    List<WorkerSession> found = sessionIndex.ofTarget(target).stream().map(sessions::get).toList();
    examined(found.size());
    return found;
  }

  /** Returns a copy of the sessions with the target or the address of a worker, its own too. */
  List<WorkerSession> sessionsWithSameTargetOrAddress(WorkerInfo info) {
    List<WorkerSession> found =
        sessionIndex.withSameTargetOrAddress(info).stream()
            .map(known -> sessions.get(known.key()))
            .toList();
    examined(found.size());
    return found;
  }

  // Runs

  void add(RunState run) {
    runs.put(run.id, run);
    runsByStep
        .computeIfAbsent(run.id.task().stepKey(), step -> new LinkedHashMap<>())
        .put(run.id, run);
    runsByJob.computeIfAbsent(run.id.task().job(), job -> new LinkedHashMap<>()).put(run.id, run);
    run.worker.add(run);
    changedJobs.add(run.id.task().job());
    urgentUsage.add(run);
  }

  void remove(RunState run) {
    if (runs.remove(run.id) != null) {
      urgentUsage.remove(run);
    }
    removeFrom(runsByStep, run.id.task().stepKey(), run.id);
    removeFrom(runsByJob, run.id.task().job(), run.id);
    run.worker.remove(run);
    changedJobs.add(run.id.task().job());
    stopping.remove(run);
    if (run.spec.gang()) {
      stepsToCheck.add(run.id.task().stepKey());
    }
    dirty = true;
  }

  private static <K> void removeFrom(Map<K, Map<RunId, RunState>> index, K key, RunId run) {
    index.computeIfPresent(
        key,
        (same, known) -> {
          known.remove(run);
          return known.isEmpty() ? null : known;
        });
  }

  /** Tells whether a step has runs. */
  boolean hasRuns(StepKey step) {
    return runsByStep.containsKey(step);
  }

  /** Returns a copy of the runs of a step. */
  List<RunState> runsOf(StepKey step) {
    List<RunState> found = List.copyOf(runsByStep.getOrDefault(step, Map.of()).values());
    examined(found.size());
    return found;
  }

  /** Returns a copy of the runs of a job. */
  List<RunState> runsOfJob(JobId job) {
    List<RunState> found = List.copyOf(runsByJob.getOrDefault(job, Map.of()).values());
    examined(found.size());
    return found;
  }

  /** Notes that the worker has a run, from which its progress counts. */
  void markRunning(RunState run, long nowMillis) {
    run.markRunning(nowMillis);
    if (!run.stallCheckScheduled && !run.spec.longRunning()) {
      run.stallCheckScheduled = true;
      scheduleStallCheck(run, nowMillis);
    }
  }

  /** Has a run looked at again when it can stand still, but not before a time. */
  void scheduleStallCheck(RunState run, long atMillis) {
    stallChecks.add(
        run, Math.max(atMillis, run.progressMillis + settings.stallTimeoutMillis() + 1));
  }

  /** Notes that a run is to stop. */
  void markStopRequested(RunState run) {
    run.stopRequested = true;
    stopping.add(run);
  }

  /** Returns the runs that end with a run: all members of its gang, or itself. */
  Collection<RunState> runsStoppedWith(RunState run) {
    return run.spec.gang() ? runsOf(run.id.task().stepKey()) : List.of(run);
  }

  // Actions

  void emit(ScopeAction action) {
    actions.add(action);
  }

  void propose(ScopeCommand command) {
    actions.add(new ScopeAction.Propose(command));
  }

  void report(ScopeEvent event) {
    actions.add(new ScopeAction.Report(event));
  }

  /** Returns the actions so far and forgets them. */
  public List<ScopeAction> takeActions() {
    List<ScopeAction> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }
}
