package org.primrosegauge.core.scope;

import java.util.Objects;

/**
 * Heartbeat of a worker.
 *
 * @param info announcement of the worker incarnation
 * @param sequence sequence number, which increases with each heartbeat of the incarnation
 * @param isDraining whether the worker is draining
 * @param drainRemainingMillis minimum time left until a draining worker shuts down, in milliseconds
 * @param clockMillis time on the worker's clock when it sent the heartbeat, in milliseconds
 * @since 0.2
 */
public record WorkerHeartbeat(
    WorkerInfo info,
    long sequence,
    boolean isDraining,
    long drainRemainingMillis,
    long clockMillis) {

  /** Rejects a null announcement. */
  public WorkerHeartbeat {
    Objects.requireNonNull(info, "info");
  }
}
