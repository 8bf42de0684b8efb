package org.primrosegauge.core.scope;

/**
 * Result of applying a {@link ScopeCommand}.
 *
 * @since 0.2
 */
public enum ScopeResult {
  /** The command took effect, or had no effect because the state already reflected it. */
  APPLIED,
  /** The command refers to an unknown job. */
  UNKNOWN_JOB,
  /** The id of the submitted job belongs to a job of another queue or customer. */
  ID_IN_USE,
  /** The submitted job was cancelled before its submission arrived. */
  CANCELLED,
  /** The job to cancel is unknown, and too many unknown jobs have been cancelled recently. */
  TOO_MANY_CANCELLATIONS
}
