package org.primrosegauge.core.scope;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.primrosegauge.core.FailureDomainId;

/**
 * Whole state of a {@link ScopeLedger}, for snapshots of the log.
 *
 * @param configuration configuration in force
 * @param content its text
 * @param domainsOut domains in which nothing may start
 * @param workers lifetimes of workers
 * @param jobs jobs in the order of their acceptance
 * @since 0.2
 */
public record ScopeSnapshot(
    ScopeConfiguration configuration,
    String content,
    List<FailureDomainId> domainsOut,
    List<WorkerState> workers,
    List<JobState> jobs) {

  /**
   * One lifetime of a worker.
   *
   * @param info what it announced
   * @param lastEnd number of the last end recorded
   * @param openRuns runs that may be going on there
   * @param draining whether it leaves
   * @param renewalSuspended whether no leader renews the lease of these
   * @since 0.2
   */
  public record WorkerState(
      WorkerInfo info,
      long lastEnd,
      List<RunId> openRuns,
      boolean draining,
      boolean renewalSuspended) {

    static WorkerState of(WorkerRecord worker) {
      return new WorkerState(
          worker.info(),
          worker.lastEnd(),
          List.copyOf(worker.openRuns()),
          worker.isDraining(),
          worker.isRenewalSuspended());
    }
  }

  /**
   * One job.
   *
   * @param job job as accepted
   * @param status state that callers see
   * @param doneOccurrences occurrences that are done
   * @param openRuns runs that may be going on
   * @param endedMillis when it ended, in milliseconds since 1970; 0 before
   * @param occurrences occurrences that have begun and are not done
   * @since 0.2
   */
  public record JobState(
      ScopeJob job,
      JobStatus status,
      Set<Integer> doneOccurrences,
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
          Set.copyOf(entry.doneOccurrences()),
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
      return new JobEntry(job, status, doneOccurrences, openRuns, endedMillis, begun);
    }
  }

  /**
   * One occurrence of a job.
   *
   * @param number occurrence, from 0
   * @param steps its steps
   * @since 0.2
   */
  public record OccurrenceState(int number, List<StepState> steps) {}

  /**
   * One step of an occurrence.
   *
   * @param tasks tasks
   * @param gangFailures attempts of the gang that failed
   * @param lastFailedAttempt latest of them
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
          spec, tasks.stream().map(TaskState::toRecord).toList(), gangFailures, lastFailedAttempt);
    }
  }

  /**
   * One task.
   *
   * @param done whether it is done
   * @param failures failed runs
   * @param lastAttempt number of the latest run
   * @param checkpoint latest checkpoint
   * @param openAttempt number of the run that may be going on; 0 when none
   * @param openWorker where it may be going on; null when none is
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

    TaskRecord toRecord() {
      return new TaskRecord(done, failures, lastAttempt, checkpoint, openAttempt, openWorker);
    }
  }

  static ScopeSnapshot of(
      ScopeConfiguration configuration,
      String content,
      List<FailureDomainId> domainsOut,
      Collection<WorkerRecord> workers,
      Collection<JobEntry> jobs) {
    return new ScopeSnapshot(
        configuration,
        content,
        domainsOut,
        workers.stream().map(WorkerState::of).toList(),
        jobs.stream().map(JobState::of).toList());
  }
}
