package org.primrosegauge.core.scope;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * State of a job in the ledger. Modified only by {@link ScopeLedger}.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2
 */
public final class JobEntry {

  private final ScopeJob job;
  private final SortedMap<Integer, List<StepRecord>> occurrences = new TreeMap<>();
  private JobStatus status = JobStatus.QUEUED;
  private final Set<Integer> doneOccurrences = new TreeSet<>();
  private int openRuns;
  private long endedMillis;

  /**
   * Backlog that the pending work of the job is added to. Private to the job unless {@link
   * #attachBacklog} was called and the job has not ended.
   */
  private Backlog backlog = new Backlog();

  /** Creates the entry of a newly accepted job. */
  JobEntry(ScopeJob job) {
    this.job = job;
    if (job.recurrence().equals(Recurrence.NONE)) {
      occurrence(0);
    }
  }

  /** Restores an entry from a snapshot. */
  JobEntry(
      ScopeJob job,
      JobStatus status,
      Set<Integer> doneOccurrences,
      int openRuns,
      long endedMillis,
      SortedMap<Integer, List<StepRecord>> occurrences) {
    this.job = job;
    this.status = status;
    this.doneOccurrences.addAll(doneOccurrences);
    this.openRuns = openRuns;
    this.endedMillis = endedMillis;
    this.occurrences.putAll(occurrences);
  }

  /**
   * Returns the job as accepted.
   *
   * @since 0.2
   */
  public ScopeJob job() {
    return job;
  }

  /**
   * Returns the status as shown to callers.
   *
   * @since 0.2
   */
  public JobStatus status() {
    return status;
  }

  /**
   * Returns the time when the job ended, in milliseconds since 1970; 0 if it has not ended.
   *
   * @since 0.2
   */
  public long endedMillis() {
    return endedMillis;
  }

  /**
   * Returns the numbers of the completed occurrences.
   *
   * @since 0.2
   */
  public Set<Integer> doneOccurrences() {
    return doneOccurrences;
  }

  /**
   * Returns the number of runs that may still be active.
   *
   * @since 0.2
   */
  public int openRuns() {
    return openRuns;
  }

  /**
   * Returns the steps of the occurrences that have begun and are not done, by number of the
   * occurrence.
   *
   * @since 0.2
   */
  public SortedMap<Integer, List<StepRecord>> occurrences() {
    return occurrences;
  }

  /**
   * Returns the steps of an occurrence, creating their records if the occurrence has not begun.
   *
   * @since 0.2
   */
  public List<StepRecord> occurrence(int number) {
    return occurrences.computeIfAbsent(
        number,
        key -> {
          List<StepRecord> steps =
              new ArrayList<>(job.steps().stream().map(StepRecord::new).toList());
          steps.forEach(step -> backlog.adjust(step.spec(), step.pendingTasks()));
          return steps;
        });
  }

  /**
   * Returns a step; null if its occurrence has not begun or is done.
   *
   * @since 0.2
   */
  public StepRecord step(StepKey key) {
    List<StepRecord> steps = occurrences.get(key.occurrence());
    return steps == null || key.step() >= steps.size() ? null : steps.get(key.step());
  }

  /**
   * Adds the pending work of this job to a shared backlog, and keeps it up to date until it ends.
   */
  void attachBacklog(Backlog queueBacklog) {
    backlog = queueBacklog;
    allSteps().forEach(step -> backlog.adjust(step.spec(), step.pendingTasks()));
  }

  void open(StepRecord step, int index, int attempt, WorkerKey worker) {
    applyAndAdjustBacklog(step, () -> step.open(index, attempt, worker));
  }

  void close(StepRecord step, int index) {
    applyAndAdjustBacklog(step, () -> step.close(index));
  }

  void markDone(StepRecord step, int index) {
    applyAndAdjustBacklog(step, () -> step.markDone(index));
  }

  private void applyAndAdjustBacklog(StepRecord step, Runnable change) {
    int before = step.pendingTasks();
    change.run();
    backlog.adjust(step.spec(), step.pendingTasks() - before);
  }

  private Stream<StepRecord> allSteps() {
    return occurrences.values().stream().flatMap(List::stream);
  }

  void runOpened() {
    openRuns++;
    if (status == JobStatus.QUEUED) {
      status = JobStatus.RUNNING;
    }
  }

  void runClosed() {
    openRuns--;
  }

  void markOccurrenceDone(int number) {
    occurrences.remove(number);
    doneOccurrences.add(number);
  }

  void end(JobStatus finalStatus, long atMillis) {
    allSteps().forEach(step -> backlog.adjust(step.spec(), -step.pendingTasks()));
    backlog = new Backlog();
    status = finalStatus;
    endedMillis = atMillis;
  }
}
