package org.primrosegauge.node.request;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.request.TargetAnnouncement;

/**
 * Body of an executor's announcement.
 *
 * @param address base address of its request interface
 * @param service service whose requests it answers
 * @param domain failure domain that it is in
 * @param slots requests that it works on at a time
 * @param connections connections that it accepts
 * @param inProgress requests that it works on now
 * @param leaving whether it wants nothing new
 */
record ExecutorReport(
    String address,
    ServiceId service,
    FailureDomainId domain,
    int slots,
    int connections,
    int inProgress,
    boolean leaving) {

  private static final int MAX_SLOTS = 4_096;

  /** Checks what came from outside and adds what this instance decides. */
  TargetAnnouncement toAnnouncement(TargetId id, long leaseMillis) throws InvalidInputException {
    require(address != null && address.startsWith("http://"), "address", "an http:// address");
    require(service != null, "service", "the id of the service");
    require(domain != null, "domain", "the id of the failure domain");
    require(slots >= 1 && slots <= MAX_SLOTS, "slots", "a number from 1 to " + MAX_SLOTS);
    require(connections >= 1, "connections", "a number from 1");
    require(inProgress >= 0, "inProgress", "a number from 0");
    return new TargetAnnouncement(
        id, service, domain, address, slots, connections, inProgress, leaving, leaseMillis);
  }

  private static void require(boolean holds, String field, String expected)
      throws InvalidInputException {
    if (!holds) {
      throw new InvalidInputException(
          field + " is missing or out of range", "state " + expected, "body ." + field);
    }
  }
}
