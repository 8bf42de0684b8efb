package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.JobReason;
import org.primrosegauge.core.site.Adjacency;
import org.primrosegauge.core.site.Customer;
import org.primrosegauge.core.site.FailureDomain;

/**
 * Refuses work that can never run here. A job is refused only when it fits neither the workers
 * present nor the capacity that operators expect; while neither is known, it is accepted.
 *
 * <p>Not thread-safe; owned by one scheduler.
 */
final class Admission {

  private static final int MILLI = 1_000;

  private final DomainState state;

  Admission(DomainState state) {
    this.state = state;
  }

  Optional<JobReason> refusal(JobSpec job) {
    Optional<JobReason> byCustomer = customerRefusal(job);
    if (byCustomer.isPresent()) {
      return byCustomer;
    }
    Optional<JobReason> present = sizeRefusal(job, presentRacks());
    if (present.isEmpty()) {
      return present;
    }
    List<List<Resources>> expected = expectedRacks();
    if (expected.isEmpty()) {
      boolean fleetKnown = !state.fleet.workers().isEmpty() && !state.rebuilding;
      return fleetKnown ? present : Optional.empty();
    }
    return sizeRefusal(job, expected);
  }

  private Optional<JobReason> customerRefusal(JobSpec job) {
    if (state.configuration.customers().isEmpty()) {
      return Optional.empty();
    }
    Customer customer = findCustomer(job.customer());
    if (customer == null) {
      return Optional.of(JobReason.REFUSED_CUSTOMER);
    }
    int quota = customer.quotaAccelerators();
    boolean overQuota = quota > 0 && job.total().accelerators() > quota;
    return overQuota ? Optional.of(JobReason.REFUSED_QUOTA) : Optional.empty();
  }

  Customer findCustomer(CustomerId id) {
    for (Customer customer : state.configuration.customers()) {
      if (customer.id().equals(id)) {
        return customer;
      }
    }
    return null;
  }

  private static Optional<JobReason> sizeRefusal(JobSpec job, List<List<Resources>> racks) {
    long inWorker = 0;
    long inRack = 0;
    long inDomain = 0;
    for (List<Resources> rack : racks) {
      long sum = 0;
      for (Resources capacity : rack) {
        long slots = Worker.slotsIn(capacity, job.perTask());
        inWorker = Math.max(inWorker, slots);
        sum += slots;
      }
      inRack = Math.max(inRack, sum);
      inDomain += sum;
    }
    if (inWorker == 0) {
      return Optional.of(JobReason.REFUSED_TASK_SIZE);
    }
    if (inDomain < job.tasks()) {
      return Optional.of(JobReason.REFUSED_GANG_SIZE);
    }
    boolean tooFar =
        job.adjacencyRequired()
            && (job.adjacency() == Adjacency.WORKER && inWorker < job.tasks()
                || job.adjacency() == Adjacency.RACK && inRack < job.tasks());
    return tooFar ? Optional.of(JobReason.REFUSED_ADJACENCY) : Optional.empty();
  }

  private List<List<Resources>> presentRacks() {
    List<List<Resources>> racks = new ArrayList<>();
    for (List<Worker> rack : state.fleet.racks()) {
      racks.add(rack.stream().map(worker -> worker.capacity).toList());
    }
    return racks;
  }

  private List<List<Resources>> expectedRacks() {
    List<List<Resources>> racks = new ArrayList<>();
    for (FailureDomain domain : state.configuration.failureDomains()) {
      if (domain.id().equals(state.domain)) {
        addRacks(domain, racks);
      }
    }
    return racks;
  }

  private static void addRacks(FailureDomain domain, List<List<Resources>> racks) {
    Resources capacity =
        new Resources(
            (long) domain.coresPerWorker() * MILLI,
            domain.memoryMibPerWorker(),
            domain.acceleratorsPerWorker());
    List<Resources> rack = new ArrayList<>();
    for (int i = 0; i < domain.workers(); i++) {
      if (rack.size() == Math.max(1, domain.workersPerRack())) {
        racks.add(rack);
        rack = new ArrayList<>();
      }
      rack.add(capacity);
    }
    if (!rack.isEmpty()) {
      racks.add(rack);
    }
  }
}
