package org.primrosegauge.core.log;

import java.util.Objects;
import org.primrosegauge.core.Term;

/**
 * Snapshot of the state machine, which replaces all entries up to an index.
 *
 * @param index index of the last entry that the snapshot covers
 * @param term term of that entry
 * @param logMillis log time of that entry, in milliseconds
 * @param membership members as of that entry
 * @param state state of the state machine after that entry
 * @since 0.1
 */
public record LogSnapshot(
    LogIndex index, Term term, long logMillis, Membership membership, byte[] state) {

  /** Rejects missing components. */
  public LogSnapshot {
    Objects.requireNonNull(index);
    Objects.requireNonNull(term);
    Objects.requireNonNull(membership);
    Objects.requireNonNull(state);
  }
}
