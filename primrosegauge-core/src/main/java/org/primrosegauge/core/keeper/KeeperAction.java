package org.primrosegauge.core.keeper;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;

/**
 * What the owner of a {@link KeeperLease} has to carry out.
 *
 * @since 0.1
 */
public sealed interface KeeperAction {

  /** Send a message to another instance of the domain. */
  record Send(InstanceId to, KeeperMessage message) implements KeeperAction {}

  /**
   * Ask the quorum for the office. Answer with {@link KeeperLease#acquireResult}.
   *
   * @param number number of the request; the answer names it
   * @param domain failure domain
   * @param instance candidate
   * @param expected term that must still be the last one
   */
  record ProposeAcquire(long number, FailureDomainId domain, InstanceId instance, Term expected)
      implements KeeperAction {}

  /**
   * Ask the quorum to renew the lease. Answer with {@link KeeperLease#renewResult}.
   *
   * @param number number of the request; the answer names it
   * @param domain failure domain
   * @param instance holder
   * @param term holder's term
   */
  record ProposeRenew(long number, FailureDomainId domain, InstanceId instance, Term term)
      implements KeeperAction {}

  /**
   * Tell the quorum that this instance relies on no older instance set. No answer is needed: the
   * recorded office shows the effect.
   *
   * @param domain failure domain
   * @param instance this instance
   * @param term term held and in effect, or {@link Term#NONE}
   * @param version version of the pending set
   */
  record AcknowledgeSet(FailureDomainId domain, InstanceId instance, Term term, long version)
      implements KeeperAction {}

  /** The office begins: starts are allowed while {@link KeeperLease#mayStart} says so. */
  record TookOffice(Term term) implements KeeperAction {}

  /** The office ended: start nothing more under this term. */
  record LostOffice(Term term) implements KeeperAction {}
}
