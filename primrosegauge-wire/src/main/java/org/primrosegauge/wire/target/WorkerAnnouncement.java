package org.primrosegauge.wire.target;

import java.util.List;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.RackId;
import org.primrosegauge.core.job.Resources;

/**
 * What a worker tells an instance of its failure domain, at least once in a third of its lease.
 *
 * @param address base address of the worker's HTTP interface
 * @param domain failure domain of the worker
 * @param rack rack of the worker
 * @param capacity all resources of the worker
 * @param leaving whether the worker is being shut down and takes no new task
 * @param tasks every task that it holds
 * @param ended tasks that ended and whose end has not been acknowledged yet
 * @param version differs from that of any other announcement of this worker with other content; a
 *     {@link WorkerRenewal} names it
 * @since 0.1
 */
public record WorkerAnnouncement(
    String address,
    FailureDomainId domain,
    RackId rack,
    Resources capacity,
    boolean leaving,
    List<TaskReport> tasks,
    List<TaskEnd> ended,
    long version) {}
