package org.primrosegauge.core.scope;

import java.util.List;

/**
 * What a worker says of itself.
 *
 * @param kind whether it answered at all
 * @param clockMillis its clock when it answered
 * @param running what runs
 * @param ended what has ended and was not forgotten, oldest first
 * @since 0.2
 */
public record PollResult(
    Kind kind, long clockMillis, List<RunningEntry> running, List<EndedEntry> ended) {

  /** Whether a worker answered. */
  public enum Kind {
    /** It answered. */
    REPORT,
    /** A higher fencing token was seen there. */
    FENCED,
    /** Another lifetime answered; the one meant is over. */
    OTHER_LIFETIME,
    /** Nothing listens at its address. */
    REFUSED,
    /** No answer. */
    NO_ANSWER
  }

  /** Copies the lists. */
  public PollResult {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /**
   * Returns an answer without a report.
   *
   * @since 0.2
   */
  public static PollResult withoutReport(Kind kind) {
    return new PollResult(kind, 0, List.of(), List.of());
  }

  /**
   * A run that is there.
   *
   * @param run run
   * @param checkpoint latest checkpoint; empty when none
   * @param percent progress
   * @since 0.2
   */
  public record RunningEntry(RunId run, String checkpoint, int percent) {}

  /**
   * A run that has ended.
   *
   * @param number number of the end in this lifetime, from 1
   * @param end end
   * @since 0.2
   */
  public record EndedEntry(long number, RunEnd end) {}
}
