package org.primrosegauge.core.scope;

import java.util.List;
import java.util.Objects;
import org.primrosegauge.core.job.Resources;

/**
 * A step of a job: a number of equal tasks.
 *
 * @param count number of tasks, at least 1
 * @param task what each task needs
 * @param estimatedMillis rough estimate of a task's run time, in milliseconds
 * @param dependsOn earlier steps whose tasks must all be done first
 * @param gang whether the tasks run only all together
 * @param rackLocal whether the tasks run much faster on one rack
 * @param checkpoints whether tasks save their progress
 * @param requiredLabel label that a worker must have; empty for none
 * @param dataRack rack that holds the data; tasks run much slower elsewhere; empty for none
 * @param maxPerWorker most tasks of the step on one worker; 0 for no limit
 * @param speculative whether two runs of a task may overlap
 * @param longRunning whether the tasks run until the job is cancelled
 * @param maxUnavailable most tasks of a long-running step that orders may take down at once
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

  /** Most tasks of a step, and of all steps of a job together. */
  public static final int MAX_TASKS = 100_000;

  /** Longest estimate of a task, in milliseconds: ten years. */
  public static final long MAX_ESTIMATED_MILLIS = 10L * 365 * 24 * 60 * 60 * 1_000;

  /** Checks the ranges and copies the list. */
  public StepSpec {
    Objects.requireNonNull(task, "task");
    Objects.requireNonNull(requiredLabel, "requiredLabel");
    Objects.requireNonNull(dataRack, "dataRack");
    if (count < 1 || count > MAX_TASKS || maxPerWorker < 0) {
      throw new IllegalArgumentException("count " + count + ", per worker " + maxPerWorker);
    }
    if (estimatedMillis < 0 || estimatedMillis > MAX_ESTIMATED_MILLIS) {
      throw new IllegalArgumentException("estimated milliseconds " + estimatedMillis);
    }
    if (!task.fitsIn(Resources.MAX)) {
      throw new IllegalArgumentException("a task asks for " + task);
    }
    dependsOn = List.copyOf(dependsOn);
  }

  /**
   * Returns a copy that runs as fast anywhere.
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
   * Starts a step with the given number of tasks and nothing else set.
   *
   * @since 0.2
   */
  public static Builder builder(int count) {
    return new Builder(count);
  }

  /** Collects the parts of a step. Not thread-safe. */
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

    /** Sets what each task needs. */
    public Builder task(Resources needed) {
      task = needed;
      return this;
    }

    /** Sets the estimated run time of a task, in milliseconds. */
    public Builder estimatedMillis(long millis) {
      estimatedMillis = millis;
      return this;
    }

    /** Sets the steps that come first. */
    public Builder dependsOn(List<Integer> steps) {
      dependsOn = steps;
      return this;
    }

    /** Sets whether the tasks run only all together. */
    public Builder gang(boolean together) {
      gang = together;
      return this;
    }

    /** Sets whether one rack is much faster. */
    public Builder rackLocal(boolean local) {
      rackLocal = local;
      return this;
    }

    /** Sets whether tasks save their progress. */
    public Builder checkpoints(boolean saves) {
      checkpoints = saves;
      return this;
    }

    /** Sets the label that a worker must have. */
    public Builder requiredLabel(String label) {
      requiredLabel = label;
      return this;
    }

    /** Sets the rack of the data. */
    public Builder dataRack(String rack) {
      dataRack = rack;
      return this;
    }

    /** Sets the most tasks on one worker; 0 for no limit. */
    public Builder maxPerWorker(int most) {
      maxPerWorker = most;
      return this;
    }

    /** Sets whether two runs of a task may overlap. */
    public Builder speculative(boolean copies) {
      speculative = copies;
      return this;
    }

    /** Sets whether the tasks run until the job is cancelled. */
    public Builder longRunning(boolean lasts) {
      longRunning = lasts;
      return this;
    }

    /** Sets the most tasks that orders may take down at once. */
    public Builder maxUnavailable(int most) {
      maxUnavailable = most;
      return this;
    }

    /** Creates the step. */
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
