package org.primrosegauge.core.scope;

/**
 * State of a task in the ledger. Modified only by {@link ScopeLedger}.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2
 */
public final class TaskRecord {

  private boolean done;
  private int failures;
  private int lastAttempt;
  private String checkpoint = "";
  private int openAttempt;
  private WorkerKey openWorker;

  /** Creates the record of a task that has not run yet. */
  TaskRecord() {}

  /** Restores a record from a snapshot. */
  TaskRecord(
      boolean done,
      int failures,
      int lastAttempt,
      String checkpoint,
      int openAttempt,
      WorkerKey openWorker) {
    this.done = done;
    this.failures = failures;
    this.lastAttempt = lastAttempt;
    this.checkpoint = checkpoint;
    this.openAttempt = openAttempt;
    this.openWorker = openWorker;
  }

  /**
   * Returns whether a run has completed the task.
   *
   * @since 0.2
   */
  public boolean isDone() {
    return done;
  }

  /**
   * Returns the number of failed runs.
   *
   * @since 0.2
   */
  public int failures() {
    return failures;
  }

  /**
   * Returns the number of the latest run; 0 if the task has not run yet.
   *
   * @since 0.2
   */
  public int lastAttempt() {
    return lastAttempt;
  }

  /**
   * Returns the latest recorded checkpoint; empty if there is none.
   *
   * @since 0.2
   */
  public String checkpoint() {
    return checkpoint;
  }

  /**
   * Returns whether the task has an open run, that is, one that may still be active.
   *
   * @since 0.2
   */
  public boolean isOpen() {
    return openWorker != null;
  }

  /**
   * Returns the number of the open run; 0 if there is none.
   *
   * @since 0.2
   */
  public int openAttempt() {
    return openAttempt;
  }

  /**
   * Returns the worker of the open run; null if there is none.
   *
   * @since 0.2
   */
  public WorkerKey openWorker() {
    return openWorker;
  }

  boolean isOpenAt(WorkerKey worker) {
    return worker.equals(openWorker);
  }

  void open(int attempt, WorkerKey worker) {
    lastAttempt = attempt;
    openAttempt = attempt;
    openWorker = worker;
  }

  void close() {
    openAttempt = 0;
    openWorker = null;
  }

  void markDone() {
    done = true;
  }

  void countFailure() {
    failures++;
  }

  void saveCheckpoint(String newCheckpoint) {
    checkpoint = newCheckpoint;
  }
}
