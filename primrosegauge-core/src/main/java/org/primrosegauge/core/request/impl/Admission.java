package org.primrosegauge.core.request.impl;

import java.util.Optional;
import org.primrosegauge.core.request.RefusalReason;
import org.primrosegauge.core.request.RequestDescription;

/**
 * Checks whether a request can be answered in time. Stateless.
 *
 * @since 0.1
 */
public final class Admission {

  private Admission() {}

  /** Returns why a request has to be refused at once; empty when it may wait for a slot. */
  public static Optional<RefusalReason> check(ActiveRequest request, long nowMillis) {
    RequestDescription description = request.description();
    ServicePool pool = request.pool();
    if (description.bodyBytes() > pool.service().maxBodyBytes()) {
      return Optional.of(RefusalReason.BODY_TOO_LARGE);
    }
    if (nowMillis >= description.deadlineMillis()) {
      return Optional.of(RefusalReason.DEADLINE_PASSED);
    }
    if (!pool.hasUsableTarget(nowMillis)) {
      return Optional.of(RefusalReason.NO_TARGET);
    }
    if (description.forwarded()) {
      return pool.hasRoom(nowMillis)
          ? Optional.empty()
          : Optional.of(RefusalReason.NO_SLOT_FOR_PEER);
    }
    return canMakeDeadline(request, nowMillis)
        ? Optional.empty()
        : Optional.of(RefusalReason.DEADLINE_UNREACHABLE);
  }

  /**
   * The estimate counts only if there is a queue: a request that finds a free slot is tried, or
   * wrong measurements would never be corrected.
   */
  private static boolean canMakeDeadline(ActiveRequest request, long nowMillis) {
    long wait = request.pool().estimatedWaitMillis(request.share(), nowMillis);
    long least = request.pool().times().leastMillis();
    return wait == 0 || nowMillis + wait + least <= request.description().deadlineMillis();
  }

  /** Returns when a waiting request can no longer be answered in time. */
  public static long giveUpMillis(ActiveRequest request, long nowMillis) {
    long least = request.pool().times().leastMillis();
    return Math.max(nowMillis + 1, request.description().deadlineMillis() - least);
  }
}
