package org.primrosegauge.core.scope;

import java.util.ArrayList;
import java.util.List;

/**
 * State of a step of an occurrence in the ledger. Modified only by {@link ScopeLedger}.
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

  /** Largest number of failures of any task. */
  private int mostFailures;

  /** Creates the record of a step that has not run yet. */
  StepRecord(StepSpec spec) {
    this.spec = spec;
    this.tasks = new ArrayList<>(spec.count());
    this.pendingTasks = spec.count();
    for (int i = 0; i < spec.count(); i++) {
      tasks.add(new TaskRecord());
    }
  }

  /** Restores a record from a snapshot. */
  StepRecord(StepSpec spec, List<TaskRecord> tasks, int gangFailures, int lastFailedAttempt) {
    this.spec = spec;
    this.tasks = new ArrayList<>(tasks);
    this.gangFailures = gangFailures;
    this.lastFailedAttempt = lastFailedAttempt;
    this.doneTasks = (int) tasks.stream().filter(TaskRecord::isDone).count();
    this.openTasks = (int) tasks.stream().filter(TaskRecord::isOpen).count();
    this.pendingTasks = (int) tasks.stream().filter(StepRecord::isPending).count();
    this.mostFailures = tasks.stream().mapToInt(TaskRecord::failures).max().orElse(0);
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
   * Returns the tasks, in the order of their indexes.
   *
   * @since 0.2
   */
  public List<TaskRecord> tasks() {
    return tasks;
  }

  /**
   * Returns the task with an index.
   *
   * @since 0.2
   */
  public TaskRecord task(int index) {
    return tasks.get(index);
  }

  /**
   * Returns whether all tasks are done.
   *
   * @since 0.2
   */
  public boolean isDone() {
    return doneTasks == tasks.size();
  }

  /**
   * Returns whether any task has an open run, that is, one that may still be active.
   *
   * @since 0.2
   */
  public boolean isOpen() {
    return openTasks > 0;
  }

  /**
   * Returns the number of tasks that have an open run.
   *
   * @since 0.2
   */
  public int openTasks() {
    return openTasks;
  }

  /**
   * Returns the number of pending tasks: those that are not done and have no open run.
   *
   * @since 0.3
   */
  public int pendingTasks() {
    return pendingTasks;
  }

  /**
   * Returns the number of attempts of the gang in which a member failed.
   *
   * @since 0.2
   */
  public int gangFailures() {
    return gangFailures;
  }

  /**
   * Returns the number of the latest failed attempt of the gang; 0 if none failed.
   *
   * @since 0.2
   */
  public int lastFailedAttempt() {
    return lastFailedAttempt;
  }

  /**
   * Returns the number of the latest run of any task; 0 if no task has run yet.
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
    mostFailures = Math.max(mostFailures, tasks.get(index).failures());
    if (attempt > lastFailedAttempt) {
      lastFailedAttempt = attempt;
      gangFailures++;
    }
  }

  private static boolean isPending(TaskRecord task) {
    return !task.isDone() && !task.isOpen();
  }

  /**
   * Returns whether the step has failed, that is, whether a task or the gang has used up its
   * attempts. A long-running step never fails.
   *
   * @param maxAttempts number of failed attempts after which a step fails
   */
  boolean hasFailed(int maxAttempts) {
    if (spec.longRunning()) {
      return false;
    }
    if (spec.gang()) {
      return gangFailures >= maxAttempts;
    }
    // A job has its status checked with each end of a run, so few of them may look at all tasks.
    return mostFailures >= maxAttempts
        && tasks.stream().anyMatch(task -> !task.isDone() && task.failures() >= maxAttempts);
  }
}
