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
  final Map<WorkerKey, WorkerHeartbeat> announced = new HashMap<>();
  final Map<RunId, RunControl> runs = new LinkedHashMap<>();
  final Map<StepKey, Reservation> reservations = new LinkedHashMap<>();
  final Map<StepKey, Long> notBefore = new HashMap<>();
  final Map<StepKey, Set<WorkerKey>> failedOn = new HashMap<>();
  private final WorkerIndex sessionIndex = new WorkerIndex();
  private final Map<StepKey, Map<RunId, RunControl>> runsByStep = new HashMap<>();
  private final Map<JobId, Map<RunId, RunControl>> runsByJob = new HashMap<>();

  /** Sessions at which a look may be due. */
  final LookQueue looks = new LookQueue();

  /** Sessions in the order in which it is due to ask whether they have been silent for long. */
  final DueQueue<WorkerSession> silences = new DueQueue<>();

  /** Sessions whose last look was not answered. */
  final Set<WorkerSession> failing = new LinkedHashSet<>();

  /** Runs that are to stop and whose workers have not said that they do. */
  final Set<RunControl> stopping = new LinkedHashSet<>();

  /** Steps of which runs may have to stop because what they belong to is over or broken. */
  final Set<StepKey> suspects = new LinkedHashSet<>();

  /** Runs that never started, whose end the log did not take. */
  final Set<RunControl> unrecorded = new LinkedHashSet<>();

  /** Runs by the time at which they stand still, unless they have moved on until then. */
  final DueQueue<RunControl> stalls = new DueQueue<>();

  /** Jobs whose steps may wait for other workers than before. */
  final Set<JobId> changedJobs = new LinkedHashSet<>();

  final UrgentUse urgentUse = new UrgentUse(this);
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
    announced.clear();
    runs.clear();
    runsByStep.clear();
    runsByJob.clear();
    reservations.clear();
    notBefore.clear();
    changedJobs.clear();
    urgentUse.clear();
    failedOn.clear();
    looks.clear();
    silences.clear();
    failing.clear();
    stopping.clear();
    suspects.clear();
    unrecorded.clear();
    stalls.clear();
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

  void addProposed(RunControl run) {
    proposedTasks.add(run.id.task());
    proposedRuns.merge(run.id.task().stepKey(), 1, Integer::sum);
    add(run);
  }

  void settleProposed(RunId run) {
    if (proposedTasks.remove(run.task())) {
      changedJobs.add(run.task().job());
      proposedRuns.computeIfPresent(
          run.task().stepKey(), (step, count) -> count == 1 ? null : count - 1);
    }
  }

  // Sessions

  /** Tells whether a worker that does not answer has its lease renewed by the looks at it. */
  boolean keepsSilent(WorkerSession worker, long nowMillis) {
    return nowMillis - worker.answeredMillis + settings.leaseMillis()
        <= settings.silentRenewalMillis();
  }

  /** Returns the time that a lease may last on the slowest clock allowed, in milliseconds. */
  long longestLeaseMillis() {
    return settings.leaseMillis() * PERCENT / (PERCENT - settings.maxClockDriftPercent());
  }

  void addSession(WorkerSession session) {
    sessions.put(session.info.key(), session);
    sessionIndex.add(session.info);
    silences.add(session, session.answeredMillis + longestLeaseMillis());
    looks.touch(session);
  }

  void removeSession(WorkerSession session) {
    sessions.remove(session.info.key());
    sessionIndex.remove(session.info);
    failing.remove(session);
  }

  /** Returns a copy of the sessions of a target. */
  List<WorkerSession> sessionsOf(TargetId target) {
    List<WorkerSession> found = sessionIndex.ofTarget(target).stream().map(sessions::get).toList();
    examined(found.size());
    return found;
  }

  /** Returns a copy of the sessions with the target or the address of a worker, its own too. */
  List<WorkerSession> sessionsSharing(WorkerInfo info) {
    List<WorkerSession> found =
        sessionIndex.sharing(info).stream().map(known -> sessions.get(known.key())).toList();
    examined(found.size());
    return found;
  }

  // Runs

  void add(RunControl run) {
    runs.put(run.id, run);
    runsByStep
        .computeIfAbsent(run.id.task().stepKey(), step -> new LinkedHashMap<>())
        .put(run.id, run);
    runsByJob.computeIfAbsent(run.id.task().job(), job -> new LinkedHashMap<>()).put(run.id, run);
    run.worker.add(run);
    changedJobs.add(run.id.task().job());
    urgentUse.add(run);
  }

  void remove(RunControl run) {
    if (runs.remove(run.id) != null) {
      urgentUse.remove(run);
    }
    removeFrom(runsByStep, run.id.task().stepKey(), run.id);
    removeFrom(runsByJob, run.id.task().job(), run.id);
    run.worker.remove(run);
    changedJobs.add(run.id.task().job());
    stopping.remove(run);
    if (run.spec.gang()) {
      suspects.add(run.id.task().stepKey());
    }
    dirty = true;
  }

  private static <K> void removeFrom(Map<K, Map<RunId, RunControl>> index, K key, RunId run) {
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
  List<RunControl> runsOf(StepKey step) {
    List<RunControl> found = List.copyOf(runsByStep.getOrDefault(step, Map.of()).values());
    examined(found.size());
    return found;
  }

  /** Returns a copy of the runs of a job. */
  List<RunControl> runsOfJob(JobId job) {
    List<RunControl> found = List.copyOf(runsByJob.getOrDefault(job, Map.of()).values());
    examined(found.size());
    return found;
  }

  /** Notes that the worker has a run, from which its progress counts. */
  void running(RunControl run, long nowMillis) {
    run.running(nowMillis);
    if (!run.watched && !run.spec.longRunning()) {
      run.watched = true;
      watchAt(run, nowMillis);
    }
  }

  /** Has a run looked at again when it can stand still, but not before a time. */
  void watchAt(RunControl run, long atMillis) {
    stalls.add(run, Math.max(atMillis, run.progressMillis + settings.stallTimeoutMillis() + 1));
  }

  /** Notes that a run is to stop. */
  void wantStop(RunControl run) {
    run.stopWanted = true;
    stopping.add(run);
  }

  /** Returns the runs that end with a run: all members of its gang, or itself. */
  Collection<RunControl> stoppedWith(RunControl run) {
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
