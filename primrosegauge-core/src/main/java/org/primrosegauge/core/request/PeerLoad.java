package org.primrosegauge.core.request;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.ServiceId;

/**
 * Slots for one service that an instance has to offer to its peers.
 *
 * @param peer instance
 * @param domain failure domain of the instance
 * @param service service
 * @param freeSlots slots that are free and have nobody waiting for them
 * @param totalSlots all slots of usable executors
 * @since 0.1
 */
public record PeerLoad(
    InstanceId peer, FailureDomainId domain, ServiceId service, int freeSlots, int totalSlots) {}
