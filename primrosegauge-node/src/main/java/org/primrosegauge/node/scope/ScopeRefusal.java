package org.primrosegauge.node.scope;

/**
 * Why a call was refused. Each has a counter.
 *
 * @since 0.2
 */
public enum ScopeRefusal {
  /** No configuration is in force yet. */
  NOT_CONFIGURED,
  /** No queue has this host and path. */
  NO_QUEUE,
  /** The key belongs to no customer. */
  UNKNOWN_KEY,
  /** No such job. */
  UNKNOWN_JOB,
  /** The id of the job is malformed. */
  BAD_ID,
  /** More waits for the leader than it can do in time; nothing was done for this call. */
  OVERLOADED,
  /** The job's turn would come when its result is worth nothing any more. */
  BACKLOG,
  /** A newer order for the same was taken while this one was on its way. */
  OVERTAKEN,
  /** No leader can be reached. */
  NO_LEADER;

  /**
   * Tells whether the same call may be accepted a moment later. If an earlier try of a call is
   * still under way, such a refusal says nothing about it.
   *
   * @since 0.3
   */
  public boolean isTransient() {
    return this == OVERLOADED || this == BACKLOG || this == NO_LEADER;
  }
}
