package org.primrosegauge.core.log;

import java.util.Objects;
import org.primrosegauge.core.Term;

/**
 * State that replaces all entries up to a position.
 *
 * @param index position of the last entry that it replaces
 * @param term term of that entry
 * @param logMillis log time of that entry, in milliseconds
 * @param membership members as of that entry
 * @param state state of the state machine after that entry
 * @since 0.1
 */
public record LogSnapshot(
    LogIndex index, Term term, long logMillis, Membership membership, byte[] state) {

  /** Checks that all parts are present. */
  public LogSnapshot {
    Objects.requireNonNull(index);
    Objects.requireNonNull(term);
    Objects.requireNonNull(membership);
    Objects.requireNonNull(state);
  }
}
