package org.primrosegauge.core.scope;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.JobId;

/**
 * Complete state of a {@link ScopeLedger}, for snapshots of the log.
 *
 * @param configuration configuration in force
 * @param content text of the configuration in force
 * @param removedQueues latest settings of queues that are not configured any more; none in
 *     snapshots of releases before 0.4
 * @param domainsOut domains that are out of service
 * @param workers worker incarnations
 * @param jobs jobs, in the order of their acceptance
 * @param runTimes run times observed in each queue; none in snapshots of releases before 0.4
 * @param retention time by which ended jobs expire; not started in snapshots of releases before 0.4
 * @param cancellations cancellations of unknown jobs, earliest first; none in snapshots of releases
 *     before 0.4
 * @since 0.2
 */
public record ScopeSnapshot(
    ScopeConfiguration configuration,
    String content,
    List<QueueSpec> removedQueues,
    List<FailureDomainId> domainsOut,
    List<WorkerState> workers,
    List<JobState> jobs,
    List<RunTimes.QueueState> runTimes,
    RetentionState retention,
    List<CancellationState> cancellations) {

  /** Replaces what earlier releases did not store. */
  public ScopeSnapshot {
    removedQueues = removedQueues == null ? List.of() : List.copyOf(removedQueues);
    runTimes = runTimes == null ? List.of() : List.copyOf(runTimes);
    retention = retention == null ? new RetentionState(0, 0) : retention;
    cancellations = cancellations == null ? List.of() : List.copyOf(cancellations);
  }

  /**
   * State of the clock by which ended jobs expire.
   *
   * @param nowMillis its time, in milliseconds; 0 if it has not started
   * @param wallMillis time of the latest command, in milliseconds since 1970
   * @since 0.4
   */
  public record RetentionState(long nowMillis, long wallMillis) {}

  /**
   * A cancellation of a job that was unknown.
   *
   * @param job id of the job
   * @param queue queue that the caller's path named
   * @param customer customer of the caller's key; null without a known key on a public queue
   * @param atMillis time of the retention clock, in milliseconds
   * @since 0.4
   */
  public record CancellationState(JobId job, QueueName queue, CustomerId customer, long atMillis) {}

  /**
   * State of a worker incarnation.
   *
   * @param info announcement of the worker
   * @param lastEnd number of the last recorded end of a run
   * @param openRuns runs that may still be active on the worker
   * @param draining whether the worker is draining
   * @param drainSequence sequence number of the heartbeat that said so; 0 in snapshots of releases
   *     before 0.4
   * @param renewalSuspended whether the renewal of the lease of these runs is suspended
   * @since 0.2
   */
  public record WorkerState(
      WorkerInfo info,
      long lastEnd,
      List<RunId> openRuns,
      boolean draining,
      long drainSequence,
      boolean renewalSuspended) {

    static WorkerState of(WorkerRecord worker) {
      return new WorkerState(
          worker.info(),
          worker.lastEnd(),
          List.copyOf(worker.openRuns()),
          worker.isDraining(),
          worker.drainSequence(),
          worker.isRenewalSuspended());
    }
  }

  /**
   * State of a job.
   *
   * @param job job as accepted
   * @param status status as shown to callers
   * @param doneOccurrences numbers of the completed occurrences, in snapshots of releases before
   *     0.4; null in others
   * @param begunOccurrences number of occurrences that have begun; 0 also in snapshots of releases
   *     before 0.4
   * @param openRuns number of runs that may still be active
   * @param endedMillis time of the retention clock when the job ended; 0 if it has not ended
   * @param occurrences occurrences that have begun and are not done
   * @since 0.2
   */
  public record JobState(
      ScopeJob job,
      JobStatus status,
      Set<Integer> doneOccurrences,
      int begunOccurrences,
      int openRuns,
      long endedMillis,
      List<OccurrenceState> occurrences) {

    static JobState of(JobEntry entry) {
      List<OccurrenceState> begun = new ArrayList<>();
      entry
          .occurrences()
          .forEach(
              (number, steps) ->
                  begun.add(
                      new OccurrenceState(number, steps.stream().map(StepState::of).toList())));
      return new JobState(
          entry.job(),
          entry.status(),
          null,
          entry.begunOccurrences(),
          entry.openRuns(),
          entry.endedMillis(),
          begun);
    }

    JobEntry toEntry() {
      SortedMap<Integer, List<StepRecord>> begun = new TreeMap<>();
      for (OccurrenceState occurrence : occurrences) {
        List<StepRecord> steps = new ArrayList<>();
        for (int i = 0; i < occurrence.steps().size(); i++) {
          steps.add(occurrence.steps().get(i).toRecord(job.steps().get(i)));
        }
        begun.put(occurrence.number(), steps);
      }
      int count = begunOccurrences;
      if (count == 0) {
        count = countBegun();
        addMissing(begun, count);
      }
      return new JobEntry(job, status, count, openRuns, endedMillis, begun);
    }

    /** Returns up to which occurrence any had begun in a release before 0.4. */
    private int countBegun() {
      IntStream begun = occurrences.stream().mapToInt(OccurrenceState::number);
      IntStream done = doneNumbers().stream().mapToInt(Integer::intValue);
      return IntStream.concat(begun, done).max().orElse(-1) + 1;
    }

    private Set<Integer> doneNumbers() {
      return doneOccurrences == null ? Set.of() : doneOccurrences;
    }

    /** Begins the occurrences that a release before 0.4 had left out; it did not begin in order. */
    private void addMissing(SortedMap<Integer, List<StepRecord>> begun, int count) {
      for (int number = 0; number < count; number++) {
        if (!doneNumbers().contains(number)) {
          begun.computeIfAbsent(
              number,
              missing -> new ArrayList<>(job.steps().stream().map(StepRecord::new).toList()));
        }
      }
    }
  }

  /**
   * State of an occurrence of a job.
   *
   * @param number number of the occurrence, from 0
   * @param steps state of its steps
   * @since 0.2
   */
  public record OccurrenceState(int number, List<StepState> steps) {}

  /**
   * State of a step of an occurrence.
   *
   * @param tasks state of its tasks
   * @param gangFailures number of failed attempts of the gang
   * @param lastFailedAttempt number of the latest failed attempt of the gang; 0 if none failed
   * @since 0.2
   */
  public record StepState(List<TaskState> tasks, int gangFailures, int lastFailedAttempt) {

    static StepState of(StepRecord step) {
      return new StepState(
          step.tasks().stream().map(TaskState::of).toList(),
          step.gangFailures(),
          step.lastFailedAttempt());
    }

    StepRecord toRecord(StepSpec spec) {
      return new StepRecord(
          spec,
          tasks.stream().map(task -> task.toRecord(spec)).toList(),
          gangFailures,
          lastFailedAttempt);
    }
  }

  /**
   * State of a task.
   *
   * @param done whether a run has completed the task
   * @param failures number of failed runs
   * @param lastAttempt number of the latest run; 0 if there was none
   * @param checkpoint latest checkpoint; empty if there is none
   * @param openAttempt number of the run that may still be active; 0 if there is none
   * @param openWorker worker on which that run may be active; null if there is none
   * @since 0.2
   */
  public record TaskState(
      boolean done,
      int failures,
      int lastAttempt,
      String checkpoint,
      int openAttempt,
      WorkerKey openWorker) {

    static TaskState of(TaskRecord task) {
      return new TaskState(
          task.isDone(),
          task.failures(),
          task.lastAttempt(),
          task.checkpoint(),
          task.openAttempt(),
          task.openWorker());
    }

    /** Returns the record; releases before 0.4 recorded long-running tasks as done. */
    TaskRecord toRecord(StepSpec spec) {
      boolean isDone = done && !spec.longRunning();
      return new TaskRecord(isDone, failures, lastAttempt, checkpoint, openAttempt, openWorker);
    }
  }

  static ScopeSnapshot of(
      ScopeConfiguration configuration,
      String content,
      List<QueueSpec> removedQueues,
      List<FailureDomainId> domainsOut,
      Collection<WorkerRecord> workers,
      Collection<JobEntry> jobs,
      RunTimes runTimes,
      RetentionClock retention,
      EarlyCancellations cancellations) {
    return new ScopeSnapshot(
        configuration,
        content,
        removedQueues,
        domainsOut,
        workers.stream().map(WorkerState::of).toList(),
        jobs.stream().map(JobState::of).toList(),
        runTimes.snapshot(),
        retention.snapshot(),
        cancellations.snapshot());
  }
}
