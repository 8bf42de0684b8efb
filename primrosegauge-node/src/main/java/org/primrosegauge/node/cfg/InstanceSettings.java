package org.primrosegauge.node.cfg;

import java.nio.file.Path;
import java.util.Optional;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.RegionId;

/**
 * Who this instance is.
 *
 * @param id id of the instance
 * @param region region of the failure domain
 * @param failureDomain failure domain that the instance serves
 * @param voter whether it votes in the replicated log; needs a data folder
 * @param dataFolder folder for durable state; empty for an instance without a disk
 * @since 0.1
 */
public record InstanceSettings(
    InstanceId id,
    RegionId region,
    FailureDomainId failureDomain,
    boolean voter,
    Optional<Path> dataFolder) {}
