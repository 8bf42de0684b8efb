package org.primrosegauge.core.scope;

import java.util.Objects;

/**
 * A heartbeat of a worker.
 *
 * @param info what the worker announces of this lifetime
 * @param sequence number that rises with each heartbeat of the lifetime
 * @param isDraining whether it is about to leave
 * @param drainRemainingMillis least time that is left when draining, in milliseconds
 * @param clockMillis its clock when it sent the heartbeat
 * @since 0.2
 */
public record WorkerHeartbeat(
    WorkerInfo info,
    long sequence,
    boolean isDraining,
    long drainRemainingMillis,
    long clockMillis) {

  /** Checks that it is of a worker. */
  public WorkerHeartbeat {
    Objects.requireNonNull(info, "info");
  }
}
