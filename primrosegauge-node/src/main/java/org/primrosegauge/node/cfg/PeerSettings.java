package org.primrosegauge.node.cfg;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.InstanceId;

/**
 * Another instance of the site.
 *
 * @param id its id
 * @param failureDomain failure domain that it serves
 * @param address peer address that it advertises
 * @param voter whether it votes in the replicated log
 * @since 0.1
 */
public record PeerSettings(
    InstanceId id, FailureDomainId failureDomain, HostPort address, boolean voter) {}
