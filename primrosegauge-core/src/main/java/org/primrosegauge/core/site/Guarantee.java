package org.primrosegauge.core.site;

import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;

/**
 * Capacity that a customer can reclaim at any time in one failure domain. A guarantee over several
 * domains is written as one share a domain, so that a domain that is cut off can honour its share
 * alone.
 *
 * @param customer holder of the guarantee
 * @param domain failure domain that carries it
 * @param shape shape of the capacity
 * @since 0.1
 */
public record Guarantee(CustomerId customer, FailureDomainId domain, BlockShape shape) {}
