package org.primrosegauge.core.scope;

import java.util.ArrayList;
import java.util.List;

/**
 * What the ledger holds of one step of one occurrence. Changed by {@link ScopeLedger} only.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2
 */
public final class StepRecord {

  private final StepSpec spec;
  private final List<TaskRecord> tasks;
  private int gangFailures;
  private int lastFailedAttempt;
  private int doneTasks;
  private int openTasks;
  private int pendingTasks;

  /** Creates the record of a step that never ran. */
  StepRecord(StepSpec spec) {
    this.spec = spec;
    this.tasks = new ArrayList<>(spec.count());
    this.pendingTasks = spec.count();
    for (int i = 0; i < spec.count(); i++) {
      tasks.add(new TaskRecord());
    }
  }

  /** Creates a record from its parts. */
  StepRecord(StepSpec spec, List<TaskRecord> tasks, int gangFailures, int lastFailedAttempt) {
    this.spec = spec;
    this.tasks = new ArrayList<>(tasks);
    this.gangFailures = gangFailures;
    this.lastFailedAttempt = lastFailedAttempt;
    this.doneTasks = (int) tasks.stream().filter(TaskRecord::isDone).count();
    this.openTasks = (int) tasks.stream().filter(TaskRecord::isOpen).count();
    this.pendingTasks = (int) tasks.stream().filter(StepRecord::isPending).count();
  }

  /**
   * Returns the step as submitted.
   *
   * @since 0.2
   */
  public StepSpec spec() {
    return spec;
  }

  /**
   * Returns the tasks in the order of their index.
   *
   * @since 0.2
   */
  public List<TaskRecord> tasks() {
    return tasks;
  }

  /**
   * Returns a task.
   *
   * @since 0.2
   */
  public TaskRecord task(int index) {
    return tasks.get(index);
  }

  /**
   * Tells whether all tasks are done.
   *
   * @since 0.2
   */
  public boolean isDone() {
    return doneTasks == tasks.size();
  }

  /**
   * Tells whether a run of any task may be going on.
   *
   * @since 0.2
   */
  public boolean isOpen() {
    return openTasks > 0;
  }

  /**
   * Returns the number of tasks that may be running.
   *
   * @since 0.2
   */
  public int openTasks() {
    return openTasks;
  }

  /**
   * Returns the number of tasks that are neither done nor may be running.
   *
   * @since 0.3
   */
  public int pendingTasks() {
    return pendingTasks;
  }

  /**
   * Returns how many attempts of the gang ended with a failed member.
   *
   * @since 0.2
   */
  public int gangFailures() {
    return gangFailures;
  }

  /**
   * Returns the latest attempt of the gang that counted as failed; 0 when none did.
   *
   * @since 0.2
   */
  public int lastFailedAttempt() {
    return lastFailedAttempt;
  }

  /**
   * Returns the number of the latest run of any task; 0 before the first.
   *
   * @since 0.2
   */
  public int lastAttempt() {
    return tasks.stream().mapToInt(TaskRecord::lastAttempt).max().orElse(0);
  }

  void open(int index, int attempt, WorkerKey worker) {
    TaskRecord task = tasks.get(index);
    pendingTasks -= isPending(task) ? 1 : 0;
    if (!task.isOpen()) {
      openTasks++;
    }
    task.open(attempt, worker);
  }

  void close(int index) {
    TaskRecord task = tasks.get(index);
    if (task.isOpen()) {
      openTasks--;
      task.close();
      pendingTasks += isPending(task) ? 1 : 0;
    }
  }

  void markDone(int index) {
    TaskRecord task = tasks.get(index);
    if (!task.isDone()) {
      pendingTasks -= isPending(task) ? 1 : 0;
      doneTasks++;
      task.markDone();
    }
  }

  void countFailure(int index, int attempt) {
    tasks.get(index).countFailure();
    if (attempt > lastFailedAttempt) {
      lastFailedAttempt = attempt;
      gangFailures++;
    }
  }

  private static boolean isPending(TaskRecord task) {
    return !task.isDone() && !task.isOpen();
  }

  /** Tells whether the step has failed as often as its queue allows. */
  boolean hasFailed(int maxAttempts) {
    if (spec.longRunning()) {
      return false;
    }
    if (spec.gang()) {
      return gangFailures >= maxAttempts;
    }
    return tasks.stream().anyMatch(task -> !task.isDone() && task.failures() >= maxAttempts);
  }
}
