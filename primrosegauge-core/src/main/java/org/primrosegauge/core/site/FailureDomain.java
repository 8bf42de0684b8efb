package org.primrosegauge.core.site;

import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.RegionId;

/**
 * A failure domain and its expected capacity. The actual capacity is determined by the workers that
 * register; the expected capacity is used to reject guarantees that the site cannot satisfy.
 *
 * @param id id of the failure domain
 * @param region region of the domain
 * @param workers number of workers
 * @param workersPerRack number of workers per rack
 * @param acceleratorsPerWorker number of accelerators per worker
 * @param coresPerWorker number of processor cores per worker
 * @param memoryMibPerWorker memory per worker, in MiB
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
