package org.primrosegauge.core.log;

import java.util.Arrays;
import java.util.Objects;
import org.primrosegauge.core.Term;

/**
 * Entry of the replicated log.
 *
 * @param index index of the entry
 * @param term term of the leader that created the entry
 * @param logMillis log time in milliseconds, assigned by the leader. It never decreases and never
 *     gains on real time by more than the clock drift. It does not advance while there is no
 *     leader.
 * @param membership members from this entry on; null if the entry does not change them
 * @param command command for the state machine; empty for entries that only the log itself uses
 * @since 0.1
 */
public record LogEntry(
    LogIndex index, Term term, long logMillis, Membership membership, byte[] command) {

  /**
   * Largest command of an entry, in bytes: the text of the largest configuration, and its names. A
   * message between replicas has room for one such entry.
   *
   * @since 0.4
   */
  public static final int MAX_COMMAND_BYTES = 4 * 1024 * 1024 + 64 * 1024;

  /** Assumed size of an entry without its command, in bytes. Used for flow control. */
  private static final int OVERHEAD_BYTES = 48;

  /** Rejects missing required components. */
  public LogEntry {
    Objects.requireNonNull(index);
    Objects.requireNonNull(term);
    Objects.requireNonNull(command);
  }

  /**
   * Returns whether the entry carries a command for the state machine.
   *
   * @since 0.1
   */
  public boolean isCommand() {
    return command.length > 0;
  }

  /**
   * Returns the approximate size in bytes. Used for flow control.
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
