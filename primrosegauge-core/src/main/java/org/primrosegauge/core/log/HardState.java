package org.primrosegauge.core.log;

import java.util.Objects;
import org.primrosegauge.core.Term;

/**
 * Current term and vote. They must be durable before any reply that depends on them is sent.
 *
 * @param term latest term seen
 * @param votedFor replica voted for in that term; null if there is none
 * @param led whether this replica was elected in that term
 * @since 0.1
 */
public record HardState(Term term, ReplicaId votedFor, boolean led) {

  /** State of an empty data folder. */
  public static final HardState INITIAL = new HardState(Term.NONE, null, false);

  /** Rejects a missing term. */
  public HardState {
    Objects.requireNonNull(term);
  }
}
