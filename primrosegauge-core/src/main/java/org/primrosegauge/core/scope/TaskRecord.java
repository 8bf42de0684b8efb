package org.primrosegauge.core.scope;

/**
 * What the ledger holds of one task. Changed by {@link ScopeLedger} only.
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

  /** Creates the record of a task that never ran. */
  TaskRecord() {}

  /** Creates a record from its parts. */
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
   * Tells whether a run of the task ended as done.
   *
   * @since 0.2
   */
  public boolean isDone() {
    return done;
  }

  /**
   * Returns how many runs ended as failed.
   *
   * @since 0.2
   */
  public int failures() {
    return failures;
  }

  /**
   * Returns the number of the latest run; 0 before the first.
   *
   * @since 0.2
   */
  public int lastAttempt() {
    return lastAttempt;
  }

  /**
   * Returns the latest recorded checkpoint; empty when there is none.
   *
   * @since 0.2
   */
  public String checkpoint() {
    return checkpoint;
  }

  /**
   * Tells whether a run may be going on.
   *
   * @since 0.2
   */
  public boolean isOpen() {
    return openWorker != null;
  }

  /**
   * Returns the number of the run that may be going on; 0 when none.
   *
   * @since 0.2
   */
  public int openAttempt() {
    return openAttempt;
  }

  /**
   * Returns where a run may be going on; null when none is.
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

  void saveCheckpoint(String saved) {
    checkpoint = saved;
  }
}
