package org.primrosegauge.standin.scope;

/**
 * What an event of a leader's thread is about.
 *
 * @since 0.3
 */
public enum EventKind {
  /** An instance begins to lead. */
  OFFICE(Long.MAX_VALUE),
  /** A caller asks something. */
  QUESTION(Long.MAX_VALUE),
  /** The log has committed a command. */
  COMMIT(Long.MAX_VALUE),
  /** A worker has sent a heartbeat. */
  HEARTBEAT(1_000),
  /** A worker has answered an order to start or to stop, or has not. */
  ORDER(500),
  /** A worker has answered a look, or has not. */
  LOOK(700),
  /** Time has passed. */
  TICK(Long.MAX_VALUE),
  /** Waiting steps are given their workers, once for the events before. */
  PLAN(Long.MAX_VALUE),
  /** Workers are looked at while planning pauses. */
  RENEWAL(Long.MAX_VALUE);

  private final long patienceMillis;

  EventKind(long patienceMillis) {
    this.patienceMillis = patienceMillis;
  }

  /**
   * Returns how long an event may wait before it is late, in milliseconds: what its sender waits
   * for an answer, the length of a look itself not counted.
   *
   * @since 0.3
   */
  public long patienceMillis() {
    return patienceMillis;
  }
}
