package org.primrosegauge.core.scope;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;

/**
 * Replicated state of a scope: its configuration, domains that are out, workers, jobs, and for each
 * task where a run of it may be going on.
 *
 * <p>Deterministic: equal commands in equal order give equal states. Not thread-safe.
 *
 * @since 0.2
 */
public final class ScopeLedger {

  private final long retentionMillis;
  private final JobTable jobs = new JobTable();
  private final WorkerTable workers = new WorkerTable();
  private final Set<FailureDomainId> domainsOut = new TreeSet<>();
  private ScopeConfiguration configuration = ScopeConfiguration.NONE;
  private String content = "";

  /**
   * Creates an empty ledger.
   *
   * @param retentionMillis how long a job that has ended stays known, in milliseconds
   * @since 0.2
   */
  public ScopeLedger(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  // Accessors

  /**
   * Returns the configuration in force.
   *
   * @since 0.2
   */
  public ScopeConfiguration configuration() {
    return configuration;
  }

  /**
   * Returns the text of the configuration in force, as operators sent it.
   *
   * @since 0.2
   */
  public String content() {
    return content;
  }

  /**
   * Returns the domains in which nothing may start.
   *
   * @since 0.2
   */
  public Set<FailureDomainId> domainsOut() {
    return domainsOut;
  }

  /**
   * Returns the jobs in the order in which they were accepted.
   *
   * @since 0.2
   */
  public Collection<JobEntry> jobs() {
    return jobs.all();
  }

  /**
   * Returns the jobs that have not ended, in the order in which they were accepted.
   *
   * @since 0.3
   */
  public Collection<JobEntry> unfinishedJobs() {
    return jobs.unfinished();
  }

  /**
   * Returns a job.
   *
   * @since 0.2
   */
  public Optional<JobEntry> job(JobId id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /**
   * Returns the lifetimes of workers that are not known to be over.
   *
   * @since 0.2
   */
  public Collection<WorkerRecord> workers() {
    return workers.all();
  }

  /**
   * Returns one lifetime of a worker.
   *
   * @since 0.2
   */
  public Optional<WorkerRecord> worker(WorkerKey key) {
    return Optional.ofNullable(workers.get(key));
  }

  /**
   * Tells whether a later lifetime of the same worker, or of its address, is known.
   *
   * @param info what a worker announced
   * @since 0.3
   */
  public boolean isSuperseded(WorkerInfo info) {
    return workers.withSameTargetOrAddress(info).stream()
        .anyMatch(known -> known.key().bornMillis() > info.key().bornMillis());
  }

  /**
   * Returns the step of a run; null when its job or occurrence is over.
   *
   * @since 0.2
   */
  public StepRecord step(StepKey key) {
    JobEntry entry = jobs.get(key.job());
    return entry == null ? null : entry.step(key);
  }

  /**
   * Tells whether a run may be going on.
   *
   * @since 0.2
   */
  public boolean isOpen(RunId run) {
    StepRecord step = step(run.task().stepKey());
    return step != null && step.task(run.task().index()).openAttempt() == run.attempt();
  }

  /**
   * Tells whether a run may be going on at a worker.
   *
   * @since 0.3
   */
  public boolean isOpenAt(RunId run, WorkerKey worker) {
    return isOpen(run) && step(run.task().stepKey()).task(run.task().index()).isOpenAt(worker);
  }

  /**
   * Returns how many accepted jobs of a queue have not started a task.
   *
   * @since 0.2
   */
  public long queuedJobs(QueueName queue) {
    return jobs.queuedJobs(queue);
  }

  /**
   * Returns when the oldest such job of a queue was submitted, in milliseconds since 1970; empty
   * when there is none.
   *
   * @since 0.3
   */
  public OptionalLong oldestQueuedMillis(QueueName queue) {
    return jobs.oldestQueuedMillis(queue);
  }

  /**
   * Returns the queues with such jobs, in no order.
   *
   * @since 0.3
   */
  public Set<QueueName> queuesWithQueuedJobs() {
    return jobs.queuesWithQueuedJobs();
  }

  /**
   * Returns the estimated work that waits for the workers of a pool, of a priority or before it.
   *
   * @param priority priority of a queue, 0 first
   * @since 0.3
   */
  public PendingWork pendingWork(ServiceId pool, int priority) {
    return jobs.pendingWork(pool, queue -> configuration.priorityOf(queue) <= priority);
  }

  /**
   * Returns all that the workers of a pool have, without those in domains that are out.
   *
   * @since 0.3
   */
  public Resources capacity(ServiceId pool) {
    return workers.capacity(pool, domainsOut);
  }

  // Main API

  /**
   * Applies a command.
   *
   * @since 0.2
   */
  public ScopeResult apply(ScopeCommand command) {
    if (command instanceof ScopeCommand.Configure configure) {
      configure(configure);
    } else if (command instanceof ScopeCommand.Submit submit) {
      submit(submit.job());
    } else if (command instanceof ScopeCommand.Cancel cancel) {
      return cancel(cancel);
    } else if (command instanceof ScopeCommand.SwitchDomain order) {
      switchDomain(order);
    } else if (command instanceof ScopeCommand.Place place) {
      place.placements().forEach(this::place);
    } else if (command instanceof ScopeCommand.RecordEnds ends) {
      recordEnds(ends);
    } else if (command instanceof ScopeCommand.SeeWorker seen) {
      registerWorker(seen.worker());
    } else if (command instanceof ScopeCommand.ForgetWorker gone) {
      removeWorker(gone.worker());
    } else if (command instanceof ScopeCommand.SwitchDrain order) {
      worker(order.worker()).ifPresent(worker -> worker.setDraining(order.isDraining()));
    } else if (command instanceof ScopeCommand.SwitchRenewal order) {
      switchRenewal(order);
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
        configuration, content, List.copyOf(domainsOut), workers.all(), jobs.all());
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
    domainsOut.addAll(snapshot.domainsOut());
    for (ScopeSnapshot.WorkerState worker : snapshot.workers()) {
      WorkerRecord record = new WorkerRecord(worker.info(), worker.lastEnd());
      record.openRuns().addAll(worker.openRuns());
      record.setDraining(worker.draining());
      record.setRenewalSuspended(worker.renewalSuspended());
      workers.add(record);
    }
    for (ScopeSnapshot.JobState state : snapshot.jobs()) {
      jobs.add(state.toEntry());
    }
  }

  // Internals

  private void configure(ScopeCommand.Configure command) {
    if (command.configuration().revision().compareTo(configuration.revision()) > 0) {
      configuration = command.configuration();
      content = command.content();
    }
  }

  private void submit(ScopeJob job) {
    jobs.purgeEndedBefore(job.submittedMillis() - retentionMillis);
    if (jobs.get(job.id()) == null) {
      jobs.add(new JobEntry(job));
    }
  }

  private ScopeResult cancel(ScopeCommand.Cancel command) {
    JobEntry entry = jobs.get(command.job());
    if (entry == null) {
      return ScopeResult.UNKNOWN_JOB;
    }
    if (!entry.status().isFinal()) {
      jobs.end(entry, JobStatus.CANCELLED, command.atMillis());
    }
    return ScopeResult.APPLIED;
  }

  private void switchDomain(ScopeCommand.SwitchDomain order) {
    if (order.isOut()) {
      domainsOut.add(order.domain());
    } else {
      domainsOut.remove(order.domain());
    }
  }

  /** Ignores a placement that an earlier entry has made void, such as a cancel. */
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
    boolean isOver = entry.doneOccurrences().contains(occurrence);
    if (isOver || occurrence >= entry.job().recurrence().occurrences()) {
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
    Set<JobId> changed = new HashSet<>();
    for (RunEnd end : command.ends()) {
      if (worker.openRuns().contains(end.run())) {
        closeRun(worker, end);
        changed.add(end.run().task().job());
      }
    }
    changed.forEach(job -> updateStatus(jobs.get(job), command.atMillis()));
  }

  private void closeRun(WorkerRecord worker, RunEnd end) {
    TaskKey key = end.run().task();
    worker.openRuns().remove(end.run());
    JobEntry entry = jobs.get(key.job());
    StepRecord step = entry.step(key.stepKey());
    jobs.runClosed(entry);
    if (step == null) {
      // Its occurrence is done: this is another member of a gang that has ended.
      return;
    }
    entry.close(step, key.index());
    if (!end.checkpoint().isEmpty()) {
      saveCheckpoint(step, key.index(), end.checkpoint());
    }
    if (end.outcome() == RunOutcome.DONE) {
      markDone(entry, step, key.index());
    } else if (end.outcome() == RunOutcome.FAILED && !step.task(key.index()).isDone()) {
      step.countFailure(key.index(), end.run().attempt());
    }
  }

  /** The members of a gang end as done together, so one such end stands for all. */
  private static void markDone(JobEntry entry, StepRecord step, int index) {
    if (!step.spec().gang()) {
      entry.markDone(step, index);
      return;
    }
    for (int member = 0; member < step.tasks().size(); member++) {
      entry.markDone(step, member);
    }
  }

  /** A gang resumes from one checkpoint, whichever member it came from. */
  private void saveCheckpoint(StepRecord step, int index, String checkpoint) {
    if (step.spec().gang()) {
      step.tasks().forEach(task -> task.saveCheckpoint(checkpoint));
    } else {
      step.task(index).saveCheckpoint(checkpoint);
    }
  }

  private void updateStatus(JobEntry entry, long atMillis) {
    if (entry.status().isFinal()) {
      return;
    }
    int maxAttempts = maxAttempts(entry);
    for (Map.Entry<Integer, List<StepRecord>> begun :
        new ArrayList<>(entry.occurrences().entrySet())) {
      List<StepRecord> steps = begun.getValue();
      if (steps.stream().anyMatch(step -> step.hasFailed(maxAttempts))) {
        jobs.end(entry, JobStatus.FAILED, atMillis);
        return;
      }
      boolean isOver = steps.stream().allMatch(StepRecord::isDone);
      if (isOver) {
        entry.markOccurrenceDone(begun.getKey());
      }
    }
    if (entry.doneOccurrences().size() == entry.job().recurrence().occurrences()) {
      jobs.end(entry, JobStatus.COMPLETED, atMillis);
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

  private void switchRenewal(ScopeCommand.SwitchRenewal order) {
    for (WorkerKey key : order.workers()) {
      WorkerRecord worker = workers.get(key);
      if (worker != null) {
        worker.setRenewalSuspended(order.isSuspended());
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
