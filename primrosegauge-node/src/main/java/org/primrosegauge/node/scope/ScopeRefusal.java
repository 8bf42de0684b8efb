package org.primrosegauge.node.scope;

/**
 * Why a call was refused. Each has a counter.
 *
 * @since 0.2
 */
public enum ScopeRefusal {
  /** No configuration is in effect yet. */
  NOT_CONFIGURED,
  /** No queue has this host and path. */
  NO_QUEUE,
  /** The key belongs to no customer. */
  UNKNOWN_KEY,
  /** No such job exists, or the caller may not see it. */
  UNKNOWN_JOB,
  /** The id of the job is malformed. */
  BAD_ID,
  /** The id belongs to a job of another queue or customer; the submission was not accepted. */
  ID_IN_USE,
  /** The submitted job was cancelled before; its id is refused for a while. */
  CANCELLED,
  /** The leader is overloaded; the call was not executed. */
  OVERLOADED,
  /** The request is larger than an entry of the log may be, and was not executed. */
  TOO_LARGE,
  /** The backlog is so long that the job would start too late for its result to be of use. */
  BACKLOG,
  /** A newer order for the same failure domain was accepted while this one was in transit. */
  OVERTAKEN,
  /** No leader can be reached. */
  NO_LEADER;

  /**
   * Returns whether the refusal holds whatever an earlier attempt of the same call has done. Any
   * other refusal says nothing about an earlier attempt: it may have been executed when the leader
   * had room, or before keys and queues were changed.
   *
   * @since 0.4
   */
  public boolean coversEarlierAttempts() {
    return switch (this) {
      case UNKNOWN_JOB, CANCELLED, OVERTAKEN -> true;
      case NOT_CONFIGURED,
          NO_QUEUE,
          UNKNOWN_KEY,
          BAD_ID,
          ID_IN_USE,
          OVERLOADED,
          TOO_LARGE,
          BACKLOG,
          NO_LEADER ->
          false;
    };
  }
}
