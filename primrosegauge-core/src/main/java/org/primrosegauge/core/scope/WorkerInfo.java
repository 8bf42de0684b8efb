package org.primrosegauge.core.scope;

import java.util.List;
import java.util.Objects;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;

/**
 * What a worker announces about one of its lifetimes.
 *
 * @param key worker and lifetime
 * @param address where it takes orders
 * @param pool service whose queues it works for
 * @param domain failure domain
 * @param capacity all that it has
 * @param labels labels that steps may require
 * @param rack rack it stands in; empty when not announced
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

  /** Checks what it is made of and copies the list. */
  public WorkerInfo {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(rack, "rack");
    if (!capacity.fitsIn(Resources.MAX)) {
      throw new IllegalArgumentException("a worker has " + capacity);
    }
    labels = List.copyOf(labels);
  }
}
