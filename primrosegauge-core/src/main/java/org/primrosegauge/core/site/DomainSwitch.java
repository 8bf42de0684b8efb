package org.primrosegauge.core.site;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.Revision;

/**
 * Operators' order that a failure domain takes part or is out.
 *
 * @param domain failure domain
 * @param out whether it is out: nothing starts in it
 * @param work what happens to work that runs there when it goes out
 * @param revision operators' revision of this order; the higher wins, and out wins at an equal one
 * @since 0.1
 */
public record DomainSwitch(
    FailureDomainId domain, boolean out, RunningWorkPolicy work, Revision revision) {

  /** What happens to work that runs in a domain that goes out. */
  public enum RunningWorkPolicy {
    /** It runs to its end. */
    FINISH,
    /** It is checkpointed and queued again. */
    CHECKPOINT,
    /** It is stopped and queued again where it may be repeated. */
    STOP
  }

  /**
   * Returns the order that wins over another for the same domain.
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
