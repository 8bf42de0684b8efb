package org.primrosegauge.core.log;

import java.util.Arrays;
import java.util.Objects;
import org.primrosegauge.core.Term;

/**
 * Entry of the replicated log.
 *
 * @param index position
 * @param term term of the leader that created it
 * @param logMillis log time in milliseconds, stamped by the leader. It never goes back and never
 *     runs ahead of real time by more than the clock drift; it stands still while there is no
 *     leader.
 * @param membership members from this entry on; null unless the entry changes them
 * @param command command for the state machine; empty for entries of the log itself
 * @since 0.1
 */
public record LogEntry(
    LogIndex index, Term term, long logMillis, Membership membership, byte[] command) {

  /** Bytes that an entry takes besides its command, for flow control. */
  private static final int OVERHEAD_BYTES = 48;

  /** Checks that the required parts are present. */
  public LogEntry {
    Objects.requireNonNull(index);
    Objects.requireNonNull(term);
    Objects.requireNonNull(command);
  }

  /**
   * Tells whether the state machine has to apply the entry.
   *
   * @since 0.1
   */
  public boolean isCommand() {
    return command.length > 0;
  }

  /**
   * Returns the approximate size in bytes, for flow control.
   *
   * @since 0.1
   */
  public int sizeBytes() {
    return OVERHEAD_BYTES + command.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof LogEntry that
        && index.equals(that.index)
        && term.equals(that.term)
        && logMillis == that.logMillis
        && Objects.equals(membership, that.membership)
        && Arrays.equals(command, that.command);
  }

  @Override
  public int hashCode() {
    return Objects.hash(index, term, logMillis, Arrays.hashCode(command));
  }
}
