package org.primrosegauge.core.site;

import org.primrosegauge.core.CustomerId;

/**
 * A customer, or a team of a customer, that submits requests and jobs.
 *
 * @param id id of the customer
 * @param quotaAccelerators maximum number of accelerators that the customer's tasks may hold across
 *     the site; 0 means no quota
 * @param requestShare scheduling weight of the customer's requests under overload, at least 1
 * @since 0.1
 */
public record Customer(CustomerId id, int quotaAccelerators, int requestShare) {}
