package org.primrosegauge.core.schedule;

import org.primrosegauge.core.ConflictException;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.schedule.impl.ExpectedFleet;
import org.primrosegauge.core.site.FailureDomain;
import org.primrosegauge.core.site.Guarantee;
import org.primrosegauge.core.site.SiteConfiguration;

/**
 * Refuses a configuration whose guarantees cannot all be carried by the capacity that operators
 * expect.
 *
 * <p>Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class GuaranteeCheck {

  private GuaranteeCheck() {}

  /**
   * Checks that each failure domain, with all expected workers present, can carry all guarantees in
   * it at once.
   *
   * @throws ConflictException naming a guarantee that does not fit
   * @since 0.1
   */
  public static void verify(SiteConfiguration configuration) throws ConflictException {
    for (Guarantee guarantee : configuration.guarantees()) {
      requireDomain(configuration, guarantee.domain(), guarantee);
    }
    for (FailureDomain domain : configuration.failureDomains()) {
      verifyDomain(configuration, domain);
    }
  }

  private static void requireDomain(
      SiteConfiguration configuration, FailureDomainId id, Guarantee guarantee)
      throws ConflictException {
    for (FailureDomain domain : configuration.failureDomains()) {
      if (domain.id().equals(id)) {
        return;
      }
    }
    throw new ConflictException(
        "guarantee of customer " + guarantee.customer() + " names an unknown failure domain " + id,
        "add the failure domain or change the guarantee",
        "guarantees");
  }

  private static void verifyDomain(SiteConfiguration configuration, FailureDomain domain)
      throws ConflictException {
    Guarantee clash = ExpectedFleet.firstClash(configuration.guarantees(), domain);
    if (clash != null) {
      throw new ConflictException(
          "failure domain "
              + domain.id()
              + " cannot carry "
              + clash.shape().blocks()
              + " blocks of "
              + clash.shape().acceleratorsPerBlock()
              + " accelerators for customer "
              + clash.customer()
              + " beside the other guarantees",
          "lower a guarantee in " + domain.id() + " or move it to another failure domain",
          "guarantees");
    }
  }
}
