package org.primrosegauge.core.request;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.TargetId;

/**
 * Load and state of an executor that is attached to an instance.
 *
 * @param id executor
 * @param domain failure domain that it is in
 * @param state whether it may get requests
 * @param occupied slots in use, as far as the instance knows
 * @param capacity requests that may be sent to it at a time
 * @since 0.1
 */
public record TargetLoad(
    TargetId id, FailureDomainId domain, State state, int occupied, int capacity) {

  /** Whether an executor may get requests. */
  public enum State {
    /** It may. */
    READY,
    /** It said that it leaves, an operator said so, or its lease ended. */
    LEAVING,
    /** It failed too often and gets single probes only. */
    FAILING
  }
}
