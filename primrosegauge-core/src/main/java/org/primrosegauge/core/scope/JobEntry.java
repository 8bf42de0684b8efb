package org.primrosegauge.core.scope;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * State of a job in the ledger. Modified only by {@link ScopeLedger}.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2
 */
public final class JobEntry {

  private ScopeJob job;
  private final SortedMap<Integer, List<StepRecord>> occurrences = new TreeMap<>();
  private JobStatus status = JobStatus.QUEUED;
  private int begunOccurrences;
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
      beginNext();
    }
  }

  /** Restores an entry from a snapshot. */
  JobEntry(
      ScopeJob job,
      JobStatus status,
      int begunOccurrences,
      int openRuns,
      long endedMillis,
      SortedMap<Integer, List<StepRecord>> occurrences) {
    this.job = job;
    this.status = status;
    this.begunOccurrences = begunOccurrences;
    this.openRuns = openRuns;
    this.endedMillis = endedMillis;
    this.occurrences.putAll(occurrences);
  }

  /**
   * Returns the job as accepted, with the name and the service that its queue has now.
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
   * Returns when the job ended, by the clock that tells for how long it is kept; 0 if it has not
   * ended.
   *
   * @since 0.2
   */
  public long endedMillis() {
    return endedMillis;
  }

  /**
   * Returns the number of occurrences that have begun. They begin in order, so it is also the
   * number of the next one.
   *
   * @since 0.4
   */
  public int begunOccurrences() {
    return begunOccurrences;
  }

  /**
   * Returns whether an occurrence has begun and is done.
   *
   * @since 0.4
   */
  public boolean isDone(int occurrence) {
    return occurrence < begunOccurrences && !occurrences.containsKey(occurrence);
  }

  /**
   * Returns whether all occurrences are done.
   *
   * @since 0.4
   */
  public boolean isDone() {
    return occurrences.isEmpty() && begunOccurrences == job.recurrence().occurrences();
  }

  /**
   * Returns whether the next occurrence may begin. All tasks of those that have begun are in
   * memory, so a job with more due occurrences than that begins them as others are done.
   *
   * @since 0.4
   */
  public boolean mayBeginNext() {
    boolean isLast = begunOccurrences == job.recurrence().occurrences();
    long tasks = (occurrences.size() + 1) * job.taskCount();
    return !isLast && (occurrences.isEmpty() || tasks <= StepSpec.MAX_TASKS);
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
   * Returns the steps of an occurrence, after it and all before it have begun; none if it is done.
   *
   * @since 0.2
   */
  public List<StepRecord> occurrence(int number) {
    while (begunOccurrences <= number) {
      beginNext();
    }
    return occurrences.getOrDefault(number, List.of());
  }

  private void beginNext() {
    List<StepRecord> steps = new ArrayList<>(job.steps().stream().map(StepRecord::new).toList());
    steps.forEach(step -> backlog.adjust(step.spec(), step.pendingTasks()));
    occurrences.put(begunOccurrences, steps);
    begunOccurrences++;
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

  /** Replaces the job by the same one in another queue, or with another service. */
  void moveTo(ScopeJob moved) {
    detachBacklog();
    job = moved;
  }

  private void detachBacklog() {
    allSteps().forEach(step -> backlog.adjust(step.spec(), -step.pendingTasks()));
    backlog = new Backlog();
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
  }

  void end(JobStatus finalStatus, long atMillis) {
    detachBacklog();
    status = finalStatus;
    endedMillis = atMillis;
  }
}
