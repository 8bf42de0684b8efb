package org.primrosegauge.core.request.impl;

/**
 * States of a request, in the only order in which they follow each other.
 *
 * @since 0.1
 */
public enum RequestState {
  /** Known, not yet admitted. */
  RECEIVED,
  /** Admitted; waits for a claim or a slot, and no attempt was made. */
  ACCEPTED,
  /** An attempt was made. */
  DISPATCHED,
  /** The caller has its final answer. */
  ANSWERED
}
