package org.primrosegauge.core.scope;

import java.util.List;
import java.util.Objects;
import org.primrosegauge.core.job.Resources;

/**
 * A step of a job: a number of identical tasks.
 *
 * @param count number of tasks, at least 1
 * @param task resources that each task needs
 * @param estimatedMillis rough estimate of the run time of a task, in milliseconds
 * @param dependsOn numbers of the earlier steps whose tasks must all be done before this one starts
 * @param gang whether the tasks must run all at the same time
 * @param rackLocal whether the tasks run much faster if all are on the same rack
 * @param checkpoints whether tasks save their progress in checkpoints
 * @param requiredLabel label that a worker must have; empty for none
 * @param dataRack rack that holds the input data; tasks run much slower elsewhere; empty for none
 * @param maxPerWorker maximum number of tasks of the step on one worker; 0 for no limit
 * @param speculative whether two runs of the same task may overlap
 * @param longRunning whether the tasks run until the job is cancelled
 * @param maxUnavailable maximum number of tasks of a long-running step that may be stopped on
 *     request at the same time
 * @since 0.2
 */
public record StepSpec(
    int count,
    Resources task,
    long estimatedMillis,
    List<Integer> dependsOn,
    boolean gang,
    boolean rackLocal,
    boolean checkpoints,
    String requiredLabel,
    String dataRack,
    int maxPerWorker,
    boolean speculative,
    boolean longRunning,
    int maxUnavailable) {

  /** Maximum number of tasks of a step, and of all steps of a job together. */
  public static final int MAX_TASKS = 100_000;

  /** Maximum estimated run time of a task, in milliseconds: ten years. */
  public static final long MAX_ESTIMATED_MILLIS = 10L * 365 * 24 * 60 * 60 * 1_000;

  /** Validates the ranges of the components and makes a defensive copy of the dependencies. */
  public StepSpec {
    Objects.requireNonNull(task, "task");
    Objects.requireNonNull(requiredLabel, "requiredLabel");
    Objects.requireNonNull(dataRack, "dataRack");
    if (count < 1 || count > MAX_TASKS || maxPerWorker < 0) {
      throw new IllegalArgumentException(
          "step is out of range: count=" + count + ", limit per worker=" + maxPerWorker);
    }
    if (estimatedMillis < 0 || estimatedMillis > MAX_ESTIMATED_MILLIS) {
      throw new IllegalArgumentException(
          "estimated run time of a task, in milliseconds, is out of range: " + estimatedMillis);
    }
    if (!task.fitsIn(Resources.MAX)) {
      throw new IllegalArgumentException("resources of a task are out of range: " + task);
    }
    dependsOn = List.copyOf(dependsOn);
  }

  /**
   * Returns whether a run that ends with an outcome completes its task. Nothing completes a
   * long-running task: it is started again however its run ends, until its job is cancelled.
   *
   * @since 0.4
   */
  public boolean isCompletedBy(RunOutcome outcome) {
    return outcome == RunOutcome.DONE && !longRunning;
  }

  /**
   * Returns a copy without rack preferences: neither rack-local nor with a data rack.
   *
   * @since 0.3
   */
  public StepSpec withoutLocality() {
    return new StepSpec(
        count,
        task,
        estimatedMillis,
        dependsOn,
        gang,
        false,
        checkpoints,
        requiredLabel,
        "",
        maxPerWorker,
        speculative,
        longRunning,
        maxUnavailable);
  }

  /**
   * Returns a builder for a step with the given number of tasks and defaults for the rest.
   *
   * @since 0.2
   */
  public static Builder builder(int count) {
    return new Builder(count);
  }

  /** Builder of a step. Not thread-safe. */
  public static final class Builder {

    private final int count;
    private Resources task = Resources.NONE;
    private long estimatedMillis;
    private List<Integer> dependsOn = List.of();
    private boolean gang;
    private boolean rackLocal;
    private boolean checkpoints;
    private String requiredLabel = "";
    private String dataRack = "";
    private int maxPerWorker;
    private boolean speculative;
    private boolean longRunning;
    private int maxUnavailable;

    private Builder(int count) {
      this.count = count;
    }

    /** Sets the resources that each task needs. */
    public Builder task(Resources resources) {
      task = resources;
      return this;
    }

    /** Sets the estimated run time of a task, in milliseconds. */
    public Builder estimatedMillis(long millis) {
      estimatedMillis = millis;
      return this;
    }

    /** Sets the numbers of the earlier steps that must be done first. */
    public Builder dependsOn(List<Integer> steps) {
      dependsOn = steps;
      return this;
    }

    /** Sets whether the tasks must run all at the same time. */
    public Builder gang(boolean isGang) {
      gang = isGang;
      return this;
    }

    /** Sets whether the tasks run much faster if all are on the same rack. */
    public Builder rackLocal(boolean isRackLocal) {
      rackLocal = isRackLocal;
      return this;
    }

    /** Sets whether tasks save their progress in checkpoints. */
    public Builder checkpoints(boolean hasCheckpoints) {
      checkpoints = hasCheckpoints;
      return this;
    }

    /** Sets the label that a worker must have. */
    public Builder requiredLabel(String label) {
      requiredLabel = label;
      return this;
    }

    /** Sets the rack that holds the input data. */
    public Builder dataRack(String rack) {
      dataRack = rack;
      return this;
    }

    /** Sets the maximum number of tasks on one worker; 0 for no limit. */
    public Builder maxPerWorker(int max) {
      maxPerWorker = max;
      return this;
    }

    /** Sets whether two runs of the same task may overlap. */
    public Builder speculative(boolean isSpeculative) {
      speculative = isSpeculative;
      return this;
    }

    /** Sets whether the tasks run until the job is cancelled. */
    public Builder longRunning(boolean isLongRunning) {
      longRunning = isLongRunning;
      return this;
    }

    /** Sets the maximum number of tasks that may be stopped on request at the same time. */
    public Builder maxUnavailable(int max) {
      maxUnavailable = max;
      return this;
    }

    /** Builds the step. */
    public StepSpec build() {
      return new StepSpec(
          count,
          task,
          estimatedMillis,
          dependsOn,
          gang,
          rackLocal,
          checkpoints,
          requiredLabel,
          dataRack,
          maxPerWorker,
          speculative,
          longRunning,
          maxUnavailable);
    }
  }
}
