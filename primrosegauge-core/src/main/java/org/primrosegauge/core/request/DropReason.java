package org.primrosegauge.core.request;

/**
 * Why something that came in was counted and dropped.
 *
 * @since 0.1
 */
public enum DropReason implements CountedReason {
  /** The outcome of an attempt that no caller waits for any more. */
  LATE_OUTCOME("late-outcome"),
  /** An answer that carries another request or attempt. */
  MISMATCHED_ANSWER("mismatched-answer"),
  /** An answer that is too long or was cut. */
  UNUSABLE_ANSWER("unusable-answer"),
  /** The caller went away before its answer. */
  CALLER_GONE("caller-gone"),
  /** A retry that the budget of the service did not allow. */
  RETRY_BUDGET_SPENT("retry-budget-spent"),
  /** A claim result for a request that does not wait for one. */
  LATE_CLAIM("late-claim");

  private final String label;

  DropReason(String label) {
    this.label = label;
  }

  @Override
  public String label() {
    return label;
  }
}
