package org.primrosegauge.core.scope;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;

/**
 * Replicated state machine of a scope: its configuration, the domains out of service, the workers,
 * the jobs, and for each task the worker on which a run of it may still be active.
 *
 * <p>Deterministic: the same commands in the same order produce the same state. Not thread-safe.
 *
 * @since 0.2
 */
public final class ScopeLedger {

  private static final Comparator<QueueName> BY_NAME = Comparator.comparing(QueueName::value);

  private final long retentionMillis;
  private final JobTable jobs = new JobTable();
  private final WorkerTable workers = new WorkerTable();
  private final Set<FailureDomainId> domainsOut = new TreeSet<>();
  private final RunTimes runTimes = new RunTimes();
  private final RetentionClock retentionClock = new RetentionClock();
  private final EarlyCancellations earlyCancellations = new EarlyCancellations();

  /**
   * The latest settings of the queues that are not configured any more, and still have jobs or were
   * configured until now.
   */
  private final Map<QueueName, QueueSpec> removedQueues = new TreeMap<>(BY_NAME);

  private ScopeConfiguration configuration = ScopeConfiguration.NONE;
  private String content = "";
  private long examinedSteps;

  /**
   * Creates an empty ledger.
   *
   * @param retentionMillis time for which a job is kept after it has ended, and for which an
   *     unknown job that was cancelled is refused, in milliseconds
   * @since 0.2
   */
  public ScopeLedger(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  /**
   * Returns the configuration in force.
   *
   * @since 0.2
   */
  public ScopeConfiguration configuration() {
    return configuration;
  }

  /**
   * Returns the text of the configuration in force, as submitted by the operators.
   *
   * @since 0.2
   */
  public String content() {
    return content;
  }

  /**
   * Returns the domains that are out of service: no run may start there.
   *
   * @since 0.2
   */
  public Set<FailureDomainId> domainsOut() {
    return domainsOut;
  }

  /**
   * Returns all jobs, in the order of their acceptance.
   *
   * @since 0.2
   */
  public Collection<JobEntry> jobs() {
    return jobs.all();
  }

  /**
   * Returns the jobs that have not ended, in the order of their acceptance.
   *
   * @since 0.3
   */
  public Collection<JobEntry> unfinishedJobs() {
    return jobs.unfinished();
  }

  /**
   * Returns a job; empty if the id is unknown or the job is no longer kept.
   *
   * @since 0.2
   */
  public Optional<JobEntry> job(JobId id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /**
   * Returns whether a job that is unknown was cancelled recently, so that its submission is
   * refused.
   *
   * @since 0.4
   */
  public boolean wasCancelledEarly(ScopeJob job) {
    return earlyCancellations.contains(job);
  }

  /**
   * Returns the worker incarnations that are not known to have ended.
   *
   * @since 0.2
   */
  public Collection<WorkerRecord> workers() {
    return workers.all();
  }

  /**
   * Returns an incarnation of a worker; empty if it is unknown or has ended.
   *
   * @since 0.2
   */
  public Optional<WorkerRecord> worker(WorkerKey key) {
    return Optional.ofNullable(workers.get(key));
  }

  /**
   * Returns whether a later incarnation with the same target or the same address is known.
   *
   * @param info announcement of a worker
   * @since 0.3
   */
  public boolean isSuperseded(WorkerInfo info) {
    return rivalsOf(info).stream()
        .anyMatch(known -> known.key().bornMillis() > info.key().bornMillis());
  }

  /**
   * Returns the registered incarnations that cannot exist beside an announced one: those with the
   * same target or the same address. The incarnation itself is not among them.
   *
   * @param info announcement of a worker
   * @since 0.4
   */
  public List<WorkerInfo> rivalsOf(WorkerInfo info) {
    return workers.withSameTargetOrAddress(info).stream()
        .filter(known -> !known.isSameIncarnation(info))
        .toList();
  }

  /**
   * Returns a step; null if its job is unknown, or its occurrence has not begun or is done.
   *
   * @since 0.2
   */
  public StepRecord step(StepKey key) {
    JobEntry entry = jobs.get(key.job());
    return entry == null ? null : entry.step(key);
  }

  /**
   * Returns whether a run is open, that is, may still be active on a worker.
   *
   * @since 0.2
   */
  public boolean isOpen(RunId run) {
    StepRecord step = step(run.task().stepKey());
    return step != null && step.task(run.task().index()).openAttempt() == run.attempt();
  }

  /**
   * Returns whether a run is open on a given worker.
   *
   * @since 0.3
   */
  public boolean isOpenAt(RunId run, WorkerKey worker) {
    return isOpen(run) && step(run.task().stepKey()).task(run.task().index()).isOpenAt(worker);
  }

  /**
   * Returns the number of jobs of a queue of which no task has started yet.
   *
   * @since 0.2
   */
  public long queuedJobs(QueueName queue) {
    return jobs.queuedJobs(queue);
  }

  /**
   * Returns the earliest submission time of the jobs of a queue of which no task has started yet,
   * in milliseconds since 1970; empty if there are none.
   *
   * @since 0.3
   */
  public OptionalLong oldestQueuedMillis(QueueName queue) {
    return jobs.oldestQueuedMillis(queue);
  }

  /**
   * Returns the queues that hold jobs of which no task has started yet, in no particular order.
   *
   * @since 0.3
   */
  public Set<QueueName> queuesWithQueuedJobs() {
    return jobs.queuesWithQueuedJobs();
  }

  /**
   * Returns the estimated pending work for the workers of a pool, in queues of the given priority
   * or a more urgent one.
   *
   * @param priority priority of a queue; 0 is the most urgent
   * @since 0.3
   */
  public PendingWork pendingWork(ServiceId pool, int priority) {
    return jobs.pendingWork(pool, queue -> configuration.priorityOf(queue) <= priority);
  }

  /**
   * Returns the run times observed so far.
   *
   * @since 0.4
   */
  public RunTimes runTimes() {
    return runTimes;
  }

  /**
   * Returns the total capacity of the workers of a pool, without those in domains out of service.
   *
   * @since 0.3
   */
  public Resources capacity(ServiceId pool) {
    return workers.capacity(pool, domainsOut);
  }

  /** Returns how many steps have been examined because runs of them have ended. */
  long examinedSteps() {
    return examinedSteps;
  }

  /**
   * Applies a command.
   *
   * @since 0.2
   */
  public ScopeResult apply(ScopeCommand command) {
    if (command instanceof ScopeCommand.Configure configure) {
      configure(configure);
    } else if (command instanceof ScopeCommand.Submit submit) {
      return submit(submit.job());
    } else if (command instanceof ScopeCommand.Cancel cancel) {
      return cancel(cancel);
    } else if (command instanceof ScopeCommand.SwitchDomain switchDomain) {
      switchDomain(switchDomain);
    } else if (command instanceof ScopeCommand.Place place) {
      place.placements().forEach(this::place);
    } else if (command instanceof ScopeCommand.RecordEnds recordEnds) {
      recordEnds(recordEnds);
    } else if (command instanceof ScopeCommand.SeeWorker seeWorker) {
      registerWorker(seeWorker.worker());
    } else if (command instanceof ScopeCommand.ForgetWorker forgetWorker) {
      removeWorker(forgetWorker.worker());
    } else if (command instanceof ScopeCommand.SwitchDrain switchDrain) {
      worker(switchDrain.worker())
          .ifPresent(
              worker -> worker.setDraining(switchDrain.isDraining(), switchDrain.sequence()));
    } else if (command instanceof ScopeCommand.SwitchRenewal switchRenewal) {
      switchRenewal(switchRenewal);
    }
    return ScopeResult.APPLIED;
  }

  /**
   * Returns the whole state.
   *
   * @since 0.2
   */
  public ScopeSnapshot snapshot() {
    return ScopeSnapshot.of(
        configuration,
        content,
        List.copyOf(removedQueues.values()),
        List.copyOf(domainsOut),
        workers.all(),
        jobs.all(),
        runTimes,
        retentionClock,
        earlyCancellations);
  }

  /**
   * Replaces the whole state.
   *
   * @since 0.2
   */
  public void restore(ScopeSnapshot snapshot) {
    jobs.clear();
    workers.clear();
    domainsOut.clear();
    configuration = snapshot.configuration();
    content = snapshot.content();
    removedQueues.clear();
    snapshot.removedQueues().forEach(queue -> removedQueues.put(queue.name(), queue));
    domainsOut.addAll(snapshot.domainsOut());
    for (ScopeSnapshot.WorkerState worker : snapshot.workers()) {
      WorkerRecord record = new WorkerRecord(worker.info(), worker.lastEnd());
      record.openRuns().addAll(worker.openRuns());
      record.setDraining(worker.draining(), worker.drainSequence());
      record.setRenewalSuspended(worker.renewalSuspended());
      workers.add(record);
    }
    for (ScopeSnapshot.JobState state : snapshot.jobs()) {
      jobs.add(state.toEntry());
    }
    earlyCancellations.restore(snapshot.cancellations());
    // Releases before 0.4 left jobs with the service that their queue had when they came.
    moveJobs();
    runTimes.restore(snapshot.runTimes());
    retentionClock.restore(snapshot.retention());
  }

  private void configure(ScopeCommand.Configure command) {
    if (command.configuration().revision().compareTo(configuration.revision()) > 0) {
      // A job that was authorized under the former configuration may follow in the log.
      Set<QueueName> kept = new HashSet<>();
      for (QueueSpec queue : configuration.queues()) {
        removedQueues.put(queue.name(), queue);
        kept.add(queue.name());
      }
      configuration = command.configuration();
      content = command.content();
      configuration.queues().forEach(queue -> removedQueues.remove(queue.name()));
      moveJobs();
      jobs.all().forEach(entry -> kept.add(entry.job().queue()));
      kept.addAll(earlyCancellations.queues());
      removedQueues.keySet().retainAll(kept);
    }
  }

  /**
   * Moves the jobs whose queue has another name or another service in the configuration, and the
   * cancellations of such queues.
   */
  private void moveJobs() {
    earlyCancellations.moveQueues(this::currentQueue);
    for (JobEntry entry : jobs.all()) {
      QueueName queue = currentQueue(entry.job().queue());
      ServiceId pool = poolOf(queue, entry.job());
      if (!queue.equals(entry.job().queue()) || !pool.equals(entry.job().pool())) {
        jobs.move(entry, queue, pool);
      }
    }
  }

  /**
   * Returns the queue that has the place of another one: that one itself while it is configured,
   * otherwise the one that has taken the address under which callers reached it.
   */
  private QueueName currentQueue(QueueName queue) {
    QueueSpec removed = removedQueues.get(queue);
    return removed == null
        ? queue
        : configuration
            .queueAt(removed.host(), removed.pathPrefix())
            .map(QueueSpec::name)
            .orElse(queue);
  }

  private ServiceId poolOf(QueueName queue, ScopeJob job) {
    return configuration.poolOf(queue).orElse(job.pool());
  }

  private ScopeResult submit(ScopeJob job) {
    advanceRetention(job.submittedMillis());
    // The configuration may have changed since the job was authorized.
    QueueName queue = currentQueue(job.queue());
    ScopeJob moved = job.withQueue(queue, poolOf(queue, job));
    JobEntry known = jobs.get(job.id());
    if (known != null) {
      return known.job().isSameAs(moved) ? ScopeResult.APPLIED : ScopeResult.ID_IN_USE;
    }
    if (earlyCancellations.contains(moved)) {
      return ScopeResult.CANCELLED;
    }
    jobs.add(new JobEntry(moved));
    return ScopeResult.APPLIED;
  }

  /** Advances the time to that of a command, and forgets what has expired by then. */
  private void advanceRetention(long commandMillis) {
    retentionClock.advance(commandMillis);
    long expiredMillis = retentionClock.nowMillis() - retentionMillis;
    jobs.purgeEndedBefore(expiredMillis);
    earlyCancellations.purgeBefore(expiredMillis);
  }

  private ScopeResult cancel(ScopeCommand.Cancel command) {
    // The configuration may have changed since the call was authorized.
    QueueName queue = command.queue() == null ? null : currentQueue(command.queue());
    JobEntry entry = jobs.get(command.job());
    boolean isFound =
        entry != null && (queue == null || entry.job().isVisibleTo(queue, command.customer()));
    if (!isFound) {
      return queue == null ? ScopeResult.UNKNOWN_JOB : cancelUnknown(command, queue);
    }
    if (!entry.status().isFinal()) {
      retentionClock.advance(command.atMillis());
      jobs.end(entry, JobStatus.CANCELLED, retentionClock.nowMillis());
    }
    return ScopeResult.APPLIED;
  }

  private ScopeResult cancelUnknown(ScopeCommand.Cancel command, QueueName queue) {
    advanceRetention(command.atMillis());
    return earlyCancellations.add(
            command.job(), queue, command.customer(), retentionClock.nowMillis())
        ? ScopeResult.UNKNOWN_JOB
        : ScopeResult.TOO_MANY_CANCELLATIONS;
  }

  private void switchDomain(ScopeCommand.SwitchDomain command) {
    if (command.isOut()) {
      domainsOut.add(command.domain());
    } else {
      domainsOut.remove(command.domain());
    }
  }

  /** Ignores a placement that an earlier log entry, such as a cancellation, has invalidated. */
  private void place(Placement placement) {
    RunId run = placement.run();
    JobEntry entry = jobs.get(run.task().job());
    WorkerRecord worker = workers.get(placement.worker());
    if (entry == null || entry.status().isFinal() || worker == null) {
      return;
    }
    if (domainsOut.contains(worker.info().domain())) {
      return;
    }
    int occurrence = run.task().occurrence();
    if (entry.isDone(occurrence) || occurrence >= entry.job().recurrence().occurrences()) {
      return;
    }
    StepRecord step = entry.occurrence(occurrence).get(run.task().step());
    TaskRecord task = step.task(run.task().index());
    if (task.isDone() || task.isOpen() || run.attempt() <= task.lastAttempt()) {
      return;
    }
    entry.open(step, run.task().index(), run.attempt(), placement.worker());
    worker.openRuns().add(run);
    jobs.runOpened(entry);
  }

  private void recordEnds(ScopeCommand.RecordEnds command) {
    WorkerRecord worker = workers.get(command.worker());
    if (worker == null) {
      return;
    }
    worker.advanceLastEnd(command.lastEnd());
    Map<JobId, Set<Integer>> changedOccurrences = new LinkedHashMap<>();
    for (RunEnd end : command.ends()) {
      if (worker.openRuns().contains(end.run())) {
        closeRun(worker, end);
        TaskKey task = end.run().task();
        changedOccurrences
            .computeIfAbsent(task.job(), job -> new TreeSet<>())
            .add(task.occurrence());
      }
    }
    retentionClock.advance(command.atMillis());
    changedOccurrences.forEach((job, numbers) -> updateStatus(jobs.get(job), numbers));
  }

  private void closeRun(WorkerRecord worker, RunEnd end) {
    TaskKey key = end.run().task();
    worker.openRuns().remove(end.run());
    JobEntry entry = jobs.get(key.job());
    StepRecord step = entry.step(key.stepKey());
    jobs.runClosed(entry);
    if (step == null) {
      // The occurrence is already done: the run belongs to a gang of which another member
      // reported the end first.
      return;
    }
    entry.close(step, key.index());
    if (!end.checkpoint().isEmpty()) {
      saveCheckpoint(step, key.index(), end.checkpoint());
    }
    if (step.spec().isCompletedBy(end.outcome())) {
      if (end.observedMillis() > 0) {
        long declaredMillis = step.spec().estimatedMillis();
        runTimes.record(entry.job().queue(), declaredMillis, end.observedMillis());
      }
      markDone(entry, step, key.index());
    } else if (end.outcome() == RunOutcome.FAILED && !step.task(key.index()).isDone()) {
      step.countFailure(key.index(), end.run().attempt());
    }
  }

  /** The members of a gang complete together, so one completed member marks all as done. */
  private static void markDone(JobEntry entry, StepRecord step, int index) {
    if (!step.spec().gang()) {
      entry.markDone(step, index);
      return;
    }
    for (int member = 0; member < step.tasks().size(); member++) {
      entry.markDone(step, member);
    }
  }

  /** All members of a gang resume from the same checkpoint, whichever member reported it. */
  private void saveCheckpoint(StepRecord step, int index, String checkpoint) {
    if (step.spec().gang()) {
      step.tasks().forEach(task -> task.saveCheckpoint(checkpoint));
    } else {
      step.task(index).saveCheckpoint(checkpoint);
    }
  }

  /** Updates the status of a job after runs of some of its occurrences have ended. */
  private void updateStatus(JobEntry entry, Set<Integer> changedOccurrences) {
    if (entry.status().isFinal()) {
      return;
    }
    int maxAttempts = maxAttempts(entry);
    for (int number : changedOccurrences) {
      List<StepRecord> steps = entry.occurrences().get(number);
      if (steps == null) {
        continue;
      }
      examinedSteps += steps.size();
      if (steps.stream().anyMatch(step -> step.hasFailed(maxAttempts))) {
        jobs.end(entry, JobStatus.FAILED, retentionClock.nowMillis());
        return;
      }
      if (steps.stream().allMatch(StepRecord::isDone)) {
        entry.markOccurrenceDone(number);
      }
    }
    if (entry.isDone()) {
      jobs.end(entry, JobStatus.COMPLETED, retentionClock.nowMillis());
    }
  }

  private int maxAttempts(JobEntry entry) {
    return configuration
        .queue(entry.job().queue())
        .map(QueueSpec::maxAttempts)
        .orElse(entry.job().maxAttempts());
  }

  private void registerWorker(WorkerInfo info) {
    if (isSuperseded(info)) {
      return;
    }
    workers.withSameTargetOrAddress(info).stream()
        .map(WorkerInfo::key)
        .filter(known -> known.bornMillis() < info.key().bornMillis())
        .forEach(this::removeWorker);
    if (workers.get(info.key()) == null) {
      workers.add(new WorkerRecord(info, 0));
    }
  }

  private void switchRenewal(ScopeCommand.SwitchRenewal command) {
    for (WorkerKey key : command.workers()) {
      WorkerRecord worker = workers.get(key);
      if (worker != null) {
        worker.setRenewalSuspended(command.isSuspended());
      }
    }
  }

  private void removeWorker(WorkerKey key) {
    WorkerRecord worker = workers.get(key);
    if (worker == null) {
      return;
    }
    for (RunId run : List.copyOf(worker.openRuns())) {
      closeRun(worker, new RunEnd(run, RunOutcome.WORKER_LOST, ""));
    }
    workers.remove(worker);
  }
}
