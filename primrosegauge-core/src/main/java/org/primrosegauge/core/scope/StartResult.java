package org.primrosegauge.core.scope;

/**
 * Result of a request to start a run.
 *
 * @since 0.2
 */
public enum StartResult {
  /** The worker has started the run. */
  STARTED,
  /** The worker has seen a higher fencing token; the request had no effect. */
  FENCED,
  /** This run, or a later one of the task, has already been stopped or has ended on the worker. */
  SUPERSEDED,
  /** The request arrived after its deadline; it had no effect. */
  LATE,
  /** The worker has too little free capacity; the request had no effect. */
  NO_ROOM,
  /** The worker is temporarily unable to start runs; the request had no effect. */
  UNWELL,
  /** Another incarnation of the worker responded; the addressed one has ended. */
  OTHER_LIFETIME,
  /** The request is malformed; it had no effect. */
  MALFORMED,
  /** The request has not left this process; it will never be carried out. */
  NOT_SENT,
  /** No response was received; the request may still be carried out. */
  NO_ANSWER;

  /**
   * Returns whether the result is a response of the worker.
   *
   * @since 0.4
   */
  public boolean isResponse() {
    return this != NOT_SENT && this != NO_ANSWER;
  }
}
