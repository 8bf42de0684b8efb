package org.primrosegauge.core.site;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.Revision;

/**
 * Operator command that takes a failure domain out of service or returns it to service.
 *
 * @param domain failure domain
 * @param out whether the domain is out of service; no work is started in it while it is
 * @param work policy for work that is running in the domain when it goes out of service
 * @param revision revision of the command; the higher revision takes precedence, and out of service
 *     takes precedence at equal revisions
 * @since 0.1
 */
public record DomainSwitch(
    FailureDomainId domain, boolean out, RunningWorkPolicy work, Revision revision) {

  /** Policy for work that is running in a domain when it goes out of service. */
  public enum RunningWorkPolicy {
    /** Running work is allowed to complete. */
    FINISH,
    /** Running work is checkpointed and requeued. */
    CHECKPOINT,
    /** Running work is stopped, and requeued if it is repeatable. */
    STOP
  }

  /**
   * Returns the command that takes precedence, given another one for the same domain.
   *
   * @since 0.1
   */
  public DomainSwitch merge(DomainSwitch other) {
    int order = revision.compareTo(other.revision);
    if (order != 0) {
      return order > 0 ? this : other;
    }
    return out ? this : other;
  }
}
