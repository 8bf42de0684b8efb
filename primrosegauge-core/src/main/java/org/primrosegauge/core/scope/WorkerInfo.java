package org.primrosegauge.core.scope;

import java.util.List;
import java.util.Objects;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;

/**
 * Announcement of a worker incarnation.
 *
 * @param key worker incarnation
 * @param address address on which the worker accepts requests
 * @param pool service whose jobs it runs
 * @param domain failure domain
 * @param capacity total capacity
 * @param labels labels that steps may require
 * @param rack rack in which it is located; empty if not announced
 * @since 0.2
 */
public record WorkerInfo(
    WorkerKey key,
    HostPort address,
    ServiceId pool,
    FailureDomainId domain,
    Resources capacity,
    List<String> labels,
    String rack) {

  /** Validates the components and makes a defensive copy of the labels. */
  public WorkerInfo {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(rack, "rack");
    if (!capacity.fitsIn(Resources.MAX)) {
      throw new IllegalArgumentException("capacity of a worker is out of range: " + capacity);
    }
    labels = List.copyOf(labels);
  }

  /**
   * Returns whether two announcements can come from the same incarnation. Target, time of birth,
   * address, service and failure domain never change during one.
   *
   * @since 0.4
   */
  public boolean isSameIncarnation(WorkerInfo other) {
    return key.equals(other.key)
        && address.equals(other.address)
        && pool.equals(other.pool)
        && domain.equals(other.domain);
  }
}
