package org.primrosegauge.core.keeper;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;

/**
 * Message between two instances of one failure domain about the keeper's lease.
 *
 * @since 0.1
 */
public sealed interface KeeperMessage {

  /**
   * Returns the failure domain that both belong to.
   *
   * @since 0.1
   */
  FailureDomainId domain();

  /**
   * Returns the sender.
   *
   * @since 0.1
   */
  InstanceId from();

  /**
   * The holder asks for a promise.
   *
   * @param domain failure domain
   * @param from holder
   * @param term holder's term
   * @param round number of this request within the term
   */
  record RenewRequest(FailureDomainId domain, InstanceId from, Term term, long round)
      implements KeeperMessage {}

  /**
   * The sender promises not to take the office for one lease from when it received the request.
   *
   * @param domain failure domain
   * @param from granter
   * @param term term of the request
   * @param round round of the request
   */
  record RenewGrant(FailureDomainId domain, InstanceId from, Term term, long round)
      implements KeeperMessage {}

  /**
   * The sender makes no promise.
   *
   * @param domain failure domain
   * @param from sender
   * @param term term of the request
   * @param round round of the request
   * @param reason why not
   * @param highest highest term that the sender has seen
   */
  record RenewRefusal(
      FailureDomainId domain,
      InstanceId from,
      Term term,
      long round,
      RefusalReason reason,
      Term highest)
      implements KeeperMessage {}

  /** Why a promise is refused; each has a counter of its own. */
  enum RefusalReason {
    /** A higher term is known. */
    STALE_TERM,
    /** The sender restarted less than one lease ago. */
    RECOVERING,
    /** The request is about another domain. */
    OTHER_DOMAIN
  }
}
