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
import org.primrosegauge.core.scope.RunEnd;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeEvent;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.TaskKey;
import org.primrosegauge.core.scope.WorkerHeartbeat;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;
import org.primrosegauge.core.scope.cfg.ScopeFeature;
import org.primrosegauge.core.scope.cfg.ScopeSettings;

/**
 * State shared by the parts of a scope scheduler during one term.
 *
 * <p>Not thread-safe.
 */
public final class ScopeState {

  private static final long PERCENT = 100;

  /** Largest number of ends in one entry of the log. */
  private static final int MAX_ENDS_OF_ENTRY = 1_000;

  /** Priority of work that may preempt other work. */
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

  /** Sessions that may have to be polled. */
  final PollQueue pollQueue = new PollQueue();

  /** Sessions by the time at which to check whether they have been silent for too long. */
  final TimerQueue<WorkerSession> silenceChecks = new TimerQueue<>();

  /** Sessions whose last poll failed. */
  final Set<WorkerSession> unresponsive = new LinkedHashSet<>();

  /** Runs for which a stop was requested and not yet confirmed by the worker. */
  final Set<RunState> stopping = new LinkedHashSet<>();

  /** Steps whose runs may have to stop because their job is over or their gang is incomplete. */
  final Set<StepKey> stepsToCheck = new LinkedHashSet<>();

  /** Runs that never started and whose end the log did not accept. */
  final Set<RunState> unrecordedEnds = new LinkedHashSet<>();

  /** Sessions with starts that have not left this process yet. */
  final Set<WorkerSession> unsentStarts = new LinkedHashSet<>();

  /** Runs by the time at which they count as stalled unless they have made progress by then. */
  final TimerQueue<RunState> stallChecks = new TimerQueue<>();

  /** What is expected of workers, by the time at which a response counts as overdue. */
  final TimerQueue<OverdueResponses.Expectation> expectations = new TimerQueue<>();

  /** Jobs whose set of waiting steps may have changed. */
  final Set<JobId> changedJobs = new LinkedHashSet<>();

  final UrgentUsage urgentUsage = new UrgentUsage(this);
  private final Map<StepKey, Integer> proposedRuns = new HashMap<>();
  private final Set<TaskKey> proposedTasks = new HashSet<>();

  /** Number of runs of each job that were placed in this term and wait for their start. */
  private final Map<JobId, Integer> unstartedRuns = new HashMap<>();

  private final Map<WorkerKey, List<RunEnd>> concludedEnds = new LinkedHashMap<>();
  private long concludedMillis;
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
    unsentStarts.clear();
    stallChecks.clear();
    expectations.clear();
    proposedRuns.clear();
    proposedTasks.clear();
    unstartedRuns.clear();
    concludedEnds.clear();
    actions = new ArrayList<>();
  }

  /** Returns the priority of a job's queue; the lowest priority if the queue no longer exists. */
  int priorityOf(JobEntry job) {
    return ledger.configuration().priorityOf(job.job().queue());
  }

  /** Returns how long a task of a step of a job is expected to run, in milliseconds. */
  long expectedMillis(JobEntry job, StepSpec step) {
    return settings.isEnabled(ScopeFeature.OBSERVED_RUN_TIMES)
        ? ledger.runTimes().expectedMillis(job.job().queue(), step.estimatedMillis())
        : step.estimatedMillis();
  }

  /** Adds to the count of examined workers, runs, jobs and tasks. */
  void examined(int count) {
    examined += count;
  }

  /** Returns how many workers, runs, jobs and tasks have been examined for decisions so far. */
  long examined() {
    return examined;
  }

  boolean isProposed(StepKey step) {
    return proposedRuns.containsKey(step);
  }

  boolean isProposed(TaskKey task) {
    return proposedTasks.contains(task);
  }

  void addProposed(RunState run) {
    proposedTasks.add(run.id.task());
    proposedRuns.merge(run.id.task().stepKey(), 1, Integer::sum);
    run.isAwaitingStart = true;
    unstartedRuns.merge(run.id.task().job(), 1, Integer::sum);
    add(run);
  }

  /** Returns how many runs of a job were placed in this term and wait for their start. */
  int unstartedRuns(JobId job) {
    return unstartedRuns.getOrDefault(job, 0);
  }

  /** Records that a run has started, or that its worker has not responded to its start. */
  void startAttempted(RunState run) {
    boolean isAwaited = run.isAwaitingStart;
    noLongerAwaitsStart(run);
    if (isAwaited && run.job.mayBeginNext()) {
      // The next occurrence waits for the starts of those before it.
      changedJobs.add(run.id.task().job());
      dirty = true;
    }
  }

  private void noLongerAwaitsStart(RunState run) {
    if (run.isAwaitingStart) {
      run.isAwaitingStart = false;
      unstartedRuns.computeIfPresent(
          run.id.task().job(), (job, count) -> count == 1 ? null : count - 1);
    }
  }

  void removeProposed(RunId run) {
    if (proposedTasks.remove(run.task())) {
      changedJobs.add(run.task().job());
      proposedRuns.computeIfPresent(
          run.task().stepKey(), (step, count) -> count == 1 ? null : count - 1);
    }
  }

  /** Tells whether polls still renew the lease of a worker that does not respond. */
  boolean renewsUnresponsive(WorkerSession worker, long nowMillis) {
    return nowMillis - worker.lastResponseMillis + settings.leaseMillis()
        <= settings.silentRenewalMillis();
  }

  /**
   * Returns the longest real time that a lease may last if the worker's clock is as slow as
   * allowed, in milliseconds.
   */
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

  /**
   * Returns a copy of the sessions with the same target or the same address as a worker, its own
   * included.
   */
  List<WorkerSession> sessionsWithSameTargetOrAddress(WorkerInfo info) {
    List<WorkerSession> found =
        sessionIndex.withSameTargetOrAddress(info).stream()
            .map(known -> sessions.get(known.key()))
            .toList();
    examined(found.size());
    return found;
  }

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
    noLongerAwaitsStart(run);
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

  /** Records that the worker has a run and schedules its first stall check. */
  void markRunning(RunState run, long nowMillis) {
    run.markRunning(nowMillis);
    startAttempted(run);
    if (!run.stallCheckScheduled && !run.spec.longRunning()) {
      run.stallCheckScheduled = true;
      scheduleStallCheck(run, nowMillis);
    }
  }

  /**
   * Schedules a stall check of a run for the earliest time at which it can have stalled, but not
   * before the given time.
   */
  void scheduleStallCheck(RunState run, long atMillis) {
    stallChecks.add(
        run, Math.max(atMillis, run.progressMillis + settings.stallTimeoutMillis() + 1));
  }

  /** Marks a run as to be stopped. */
  void markStopRequested(RunState run) {
    run.stopRequested = true;
    stopping.add(run);
  }

  /**
   * Returns the runs that have to be stopped together with a run: all members of its gang, or the
   * run alone.
   */
  Collection<RunState> runsStoppedWith(RunState run) {
    return run.spec.gang() ? runsOf(run.id.task().stepKey()) : List.of(run);
  }

  void emit(ScopeAction action) {
    actions.add(action);
  }

  void propose(ScopeCommand command) {
    actions.add(new ScopeAction.Propose(command));
  }

  /**
   * Proposes to record the end of a run that its worker does not report. Such ends of one event are
   * recorded together, since thousands may be concluded at once.
   *
   * @param wallMillis present, in milliseconds since 1970
   */
  void proposeConcludedEnd(WorkerKey worker, RunEnd end, long wallMillis) {
    concludedEnds.computeIfAbsent(worker, key -> new ArrayList<>()).add(end);
    concludedMillis = wallMillis;
  }

  private void proposeConcludedEnds() {
    concludedEnds.forEach(
        (worker, ends) -> {
          for (int from = 0; from < ends.size(); from += MAX_ENDS_OF_ENTRY) {
            List<RunEnd> part = ends.subList(from, Math.min(ends.size(), from + MAX_ENDS_OF_ENTRY));
            propose(new ScopeCommand.RecordEnds(worker, 0, part, concludedMillis));
          }
        });
    concludedEnds.clear();
  }

  void report(ScopeEvent event) {
    actions.add(new ScopeAction.Report(event));
  }

  /** Returns and clears the collected actions. */
  public List<ScopeAction> takeActions() {
    proposeConcludedEnds();
    List<ScopeAction> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }
}
