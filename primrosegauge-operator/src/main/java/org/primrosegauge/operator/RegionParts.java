package org.primrosegauge.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.RegionId;
import org.primrosegauge.core.site.FailureDomain;

/**
 * Failure domains of a region. One use by one thread.
 *
 * @since 0.1
 */
public final class RegionParts {

  private final RegionId region;
  private final List<FailureDomain> domains = new ArrayList<>();

  RegionParts(RegionId region) {
    this.region = region;
  }

  /**
   * Adds a failure domain.
   *
   * @param id id of the failure domain
   * @param parts sets its workers
   * @throws IllegalArgumentException when the id is malformed
   * @since 0.1
   */
  public RegionParts failureDomain(String id, UnaryOperator<DomainParts> parts) {
    domains.add(parts.apply(new DomainParts(new FailureDomainId(id), region)).build());
    return this;
  }

  List<FailureDomain> domains() {
    return domains;
  }
}
