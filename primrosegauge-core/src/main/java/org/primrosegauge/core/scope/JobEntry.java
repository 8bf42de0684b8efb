package org.primrosegauge.core.scope;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * What the ledger holds of one job. Changed by {@link ScopeLedger} only.
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

  /** Where its waiting work counts: nowhere else than here before and after it is open. */
  private Backlog backlog = new Backlog();

  /** Creates the entry of a job that was just accepted. */
  JobEntry(ScopeJob job) {
    this.job = job;
    if (job.recurrence().equals(Recurrence.NONE)) {
      occurrence(0);
    }
  }

  /** Creates an entry from its parts. */
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
   * Returns the state that callers see.
   *
   * @since 0.2
   */
  public JobStatus status() {
    return status;
  }

  /**
   * Returns when the job ended, in milliseconds since 1970; 0 before.
   *
   * @since 0.2
   */
  public long endedMillis() {
    return endedMillis;
  }

  /**
   * Returns the occurrences that are done.
   *
   * @since 0.2
   */
  public Set<Integer> doneOccurrences() {
    return doneOccurrences;
  }

  /**
   * Returns the number of runs that may be going on.
   *
   * @since 0.2
   */
  public int openRuns() {
    return openRuns;
  }

  /**
   * Returns the steps of the occurrences that have begun and are not done, by occurrence.
   *
   * @since 0.2
   */
  public SortedMap<Integer, List<StepRecord>> occurrences() {
    return occurrences;
  }

  /**
   * Returns the steps of an occurrence, creating them when it begins.
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
   * Returns a step; null when its occurrence has not begun or is done.
   *
   * @since 0.2
   */
  public StepRecord step(StepKey key) {
    List<StepRecord> steps = occurrences.get(key.occurrence());
    return steps == null || key.step() >= steps.size() ? null : steps.get(key.step());
  }

  /** Has its waiting work count in a backlog until the job ends. */
  void attachBacklog(Backlog shared) {
    backlog = shared;
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

  void end(JobStatus as, long atMillis) {
    allSteps().forEach(step -> backlog.adjust(step.spec(), -step.pendingTasks()));
    backlog = new Backlog();
    status = as;
    endedMillis = atMillis;
  }
}
