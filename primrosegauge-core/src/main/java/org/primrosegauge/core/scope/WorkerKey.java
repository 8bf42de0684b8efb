package org.primrosegauge.core.scope;

import java.util.Objects;
import org.primrosegauge.core.TargetId;

/**
 * Identifies an incarnation of a worker: a restarted worker knows nothing of its earlier runs.
 *
 * @param target target of the worker
 * @param bornMillis start time of the incarnation, in milliseconds since 1970
 * @since 0.2
 */
public record WorkerKey(TargetId target, long bornMillis) {

  /** Rejects a null target. */
  public WorkerKey {
    Objects.requireNonNull(target, "target");
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof WorkerKey that
        && bornMillis == that.bornMillis
        && target.equals(that.target);
  }

  @Override
  public int hashCode() {
    return 31 * target.hashCode() + Long.hashCode(bornMillis);
  }

  @Override
  public String toString() {
    return target + "@" + bornMillis;
  }
}
