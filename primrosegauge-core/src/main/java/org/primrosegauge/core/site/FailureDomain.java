package org.primrosegauge.core.site;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.RegionId;

/**
 * A failure domain and the capacity that operators expect in it. The workers that announce
 * themselves decide what is really there; the expected capacity serves to refuse guarantees that
 * the site cannot carry.
 *
 * @param id id of the failure domain
 * @param region region it belongs to
 * @param workers number of workers
 * @param workersPerRack workers in one rack
 * @param acceleratorsPerWorker accelerators of one worker
 * @param coresPerWorker processor cores of one worker
 * @param memoryMibPerWorker memory of one worker, in MiB
 * @since 0.1
 */
public record FailureDomain(
    FailureDomainId id,
    RegionId region,
    int workers,
    int workersPerRack,
    int acceleratorsPerWorker,
    int coresPerWorker,
    long memoryMibPerWorker) {}
