package org.primrosegauge.core.log;

import java.util.Objects;
import org.primrosegauge.core.Term;

/**
 * Term and vote, which must be durable before they are answered.
 *
 * @param term latest term seen
 * @param votedFor replica voted for in that term; null when none
 * @since 0.1
 */
public record HardState(Term term, ReplicaId votedFor) {

  /** State of a new data folder. */
  public static final HardState INITIAL = new HardState(Term.NONE, null);

  /** Checks the term. */
  public HardState {
    Objects.requireNonNull(term);
  }
}
