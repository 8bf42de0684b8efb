package org.primrosegauge.core.site;

import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;

/**
 * Capacity in one failure domain that a customer can reclaim at any time. A guarantee across
 * several domains is configured as one entry per domain, so that a partitioned domain can satisfy
 * its share independently.
 *
 * @param customer holder of the guarantee
 * @param domain failure domain that provides the capacity
 * @param shape shape of the guaranteed capacity
 * @since 0.1
 */
public record Guarantee(CustomerId customer, FailureDomainId domain, BlockShape shape) {}
