package org.primrosegauge.core.scope;

/**
 * Identifies a run of a task.
 *
 * @param task task
 * @param attempt number of the run, from 1; the same for all members of a gang
 * @since 0.2
 */
public record RunId(TaskKey task, int attempt) {

  @Override
  public boolean equals(Object other) {
    return other instanceof RunId that && attempt == that.attempt && task.equals(that.task);
  }

  @Override
  public int hashCode() {
    return 31 * task.hashCode() + attempt;
  }

  @Override
  public String toString() {
    return task + "#" + attempt;
  }
}
