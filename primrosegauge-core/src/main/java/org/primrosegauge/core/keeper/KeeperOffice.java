package org.primrosegauge.core.keeper;

import java.util.Optional;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;

/**
 * What the quorum has recorded about the keeper's office of one failure domain.
 *
 * @param domain failure domain
 * @param term term handed out last; {@link Term#NONE} before the first
 * @param holder instance that the term was handed to
 * @param sets instance sets of the domain
 * @since 0.1
 */
public record KeeperOffice(
    FailureDomainId domain, Term term, Optional<InstanceId> holder, SetView sets) {

  /**
   * Returns the office of a domain that has never been configured.
   *
   * @since 0.1
   */
  public static KeeperOffice vacant(FailureDomainId domain) {
    return new KeeperOffice(domain, Term.NONE, Optional.empty(), SetView.NONE);
  }
}
