package org.primrosegauge.core.scope;

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

  @Override
  public String toString() {
    return target + "@" + bornMillis;
  }
}
