package org.primrosegauge.core.registry;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;

/**
 * Who keeps a failure domain.
 *
 * @param domain failure domain
 * @param holder keeper, or the last one
 * @param term term of its office; the next holder gets a later one
 * @param expiryLogMillis log time when the office is free again
 * @since 0.1
 */
public record KeeperOffice(
    FailureDomainId domain, InstanceId holder, Term term, long expiryLogMillis) {}
