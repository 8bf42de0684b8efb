package org.primrosegauge.core.membership;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.Term;

/**
 * What an instance tells the others about itself, at a fixed interval and at once when its revision
 * or its office changes.
 *
 * @param instance the instance
 * @param domain its failure domain
 * @param incarnation start time of the process; a status of an older process is dropped
 * @param sequence grows by one with each status of a process
 * @param ready whether it takes new work
 * @param keeperTerm term under which it is the keeper of its domain; 0 when it is not
 * @param inForce configuration revision in force
 * @param switchInForce revision of its domain's switch in force
 * @param freeAccelerators accelerators free in the domain, when it is the keeper
 * @param httpAddress base address of its HTTP interface
 * @since 0.1
 */
public record InstanceStatus(
    InstanceId instance,
    FailureDomainId domain,
    long incarnation,
    long sequence,
    boolean ready,
    Term keeperTerm,
    Revision inForce,
    Revision switchInForce,
    int freeAccelerators,
    String httpAddress) {

  /**
   * Tells whether this status was made after another one of the same instance.
   *
   * @since 0.1
   */
  public boolean isNewerThan(InstanceStatus other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : sequence > other.sequence;
  }

  /**
   * Tells whether the instance says that it is the keeper of its domain.
   *
   * @since 0.1
   */
  public boolean isKeeper() {
    return !keeperTerm.equals(Term.NONE);
  }
}
