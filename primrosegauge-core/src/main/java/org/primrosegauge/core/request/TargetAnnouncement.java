package org.primrosegauge.core.request;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;

/**
 * What an executor says of itself, at first and with each renewal.
 *
 * @param id executor
 * @param service service whose requests it answers
 * @param domain failure domain that it is in
 * @param address base address of its request interface; opaque to the router
 * @param slots requests that it works on at a time
 * @param connections connections that it accepts
 * @param inProgress requests that it works on now, whoever sent them
 * @param leaving whether it wants nothing new
 * @param leaseMillis time until the announcement expires, in milliseconds
 * @since 0.1
 */
public record TargetAnnouncement(
    TargetId id,
    ServiceId service,
    FailureDomainId domain,
    String address,
    int slots,
    int connections,
    int inProgress,
    boolean leaving,
    long leaseMillis) {

  /** Checks the ranges. */
  public TargetAnnouncement {
    if (slots < 1 || connections < 1 || inProgress < 0 || leaseMillis < 1) {
      throw new IllegalArgumentException(
          "slots " + slots + ", connections " + connections + ", in progress " + inProgress);
    }
  }

  /**
   * Returns how many requests may be sent to the executor at a time.
   *
   * @since 0.1
   */
  public int capacity() {
    return Math.min(slots, connections);
  }
}
