package org.primrosegauge.core.scope;

import java.util.List;

/**
 * Result of polling a worker.
 *
 * @param kind how the poll ended
 * @param clockMillis time on the worker's clock when it responded, in milliseconds
 * @param running runs that are active on the worker
 * @param ended runs that have ended and that the worker has not discarded, oldest first
 * @param isComplete whether {@code ended} lists all such runs; a worker reports a limited number at
 *     once, and the others in later responses
 * @since 0.2
 */
public record PollResult(
    Kind kind,
    long clockMillis,
    List<RunningEntry> running,
    List<EndedEntry> ended,
    boolean isComplete) {

  /** How a poll ended. */
  public enum Kind {
    /** The worker reported its runs. */
    REPORT,
    /** The worker has seen a higher fencing token. */
    FENCED,
    /** Another incarnation of the worker responded; the addressed one has ended. */
    OTHER_LIFETIME,
    /** The connection was refused: no process listens on the worker's address. */
    REFUSED,
    /** No response was received. */
    NO_ANSWER
  }

  /** Copies the lists. */
  public PollResult {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /**
   * Creates a result that lists all runs that have ended.
   *
   * @since 0.2
   */
  public PollResult(
      Kind kind, long clockMillis, List<RunningEntry> running, List<EndedEntry> ended) {
    this(kind, clockMillis, running, ended, true);
  }

  /**
   * Returns a result of a poll that did not yield a report.
   *
   * @since 0.2
   */
  public static PollResult withoutReport(Kind kind) {
    return new PollResult(kind, 0, List.of(), List.of());
  }

  /**
   * A run that is active on the worker.
   *
   * @param run run
   * @param checkpoint latest checkpoint; empty for none
   * @param percent progress, in percent
   * @since 0.2
   */
  public record RunningEntry(RunId run, String checkpoint, int percent) {}

  /**
   * A run that has ended.
   *
   * @param number sequence number of the end within the worker's incarnation, from 1
   * @param end run and its outcome
   * @since 0.2
   */
  public record EndedEntry(long number, RunEnd end) {}
}
