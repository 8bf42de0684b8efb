package org.primrosegauge.node.operator;

import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.site.DomainSwitch;

/**
 * Message between the instances of one failure domain about orders that the log does not hold yet.
 *
 * @since 0.1
 */
public sealed interface DomainMessage {

  /**
   * Tells of an order that was taken while the quorum could not be reached.
   *
   * @param requestId operator's request id
   * @param order the order
   * @param operator who asked
   */
  record LocalOrder(RequestId requestId, DomainSwitch order, String operator)
      implements DomainMessage {}
}
