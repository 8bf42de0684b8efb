package org.primrosegauge.core.scope;

import java.util.Objects;
import org.primrosegauge.core.TargetId;

/**
 * Identifies one lifetime of a worker: a worker that starts again knows nothing of its earlier
 * runs.
 *
 * @param target worker
 * @param bornMillis start of this lifetime, in milliseconds since 1970
 * @since 0.2
 */
public record WorkerKey(TargetId target, long bornMillis) {

  /** Checks that it names a worker. */
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
