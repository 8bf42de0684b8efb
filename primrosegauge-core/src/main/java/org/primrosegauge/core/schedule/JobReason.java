package org.primrosegauge.core.schedule;

/**
 * Why a job changed its phase, or what it waits for. Each reason is also a counter.
 *
 * @since 0.1
 */
public enum JobReason {
  /** Accepted; no decision yet. */
  ACCEPTED("accepted"),
  /** Waits for free accelerators, processor or memory. */
  WAITS_CAPACITY("waits-capacity"),
  /** Enough is free, but not as close together as the job requires. */
  WAITS_ADJACENCY("waits-adjacency"),
  /** Free capacity has to stay reclaimable for guarantees. */
  WAITS_GUARANTEE("waits-guarantee"),
  /** The customer's quota is used up. */
  WAITS_QUOTA("waits-quota"),
  /** Jobs ahead in the queue come first. */
  WAITS_TURN("waits-turn"),
  /** Capacity is being taken back from borrowers for this job. */
  WAITS_PREEMPTION("waits-preemption"),
  /** Waits before the next try after a failure. */
  WAITS_RETRY("waits-retry"),
  /** The failure domain is out. */
  WAITS_DOMAIN("waits-domain"),
  /** This instance holds no valid lease of the domain. */
  WAITS_LEASE("waits-lease"),
  /** A new keeper waits for the workers' reports. */
  WAITS_REBUILD("waits-rebuild"),
  /** A placement was found. */
  PLACED("placed"),
  /** Every worker of the gang reserved. */
  RESERVED("reserved"),
  /** Every task of the gang runs. */
  STARTED("started"),
  /** A new keeper found every task of the gang running, or completed its starts. */
  ADOPTED("adopted"),
  /** Every task ran to its end. */
  COMPLETED("completed"),
  /** The caller cancelled. */
  CANCELLED("cancelled"),
  /** The time given by the caller has passed. */
  DEADLINE("deadline"),
  /** A worker refused the reservation. */
  RESERVE_REFUSED("reserve-refused"),
  /** A worker did not answer the reservation in time. */
  RESERVE_TIMEOUT("reserve-timeout"),
  /** A worker refused the start. */
  START_REFUSED("start-refused"),
  /** A worker did not answer the start in time. */
  START_TIMEOUT("start-timeout"),
  /** A worker of the gang was lost. */
  WORKER_LOST("worker-lost"),
  /** A task of the gang was lost. */
  TASK_LOST("task-lost"),
  /** A task of the gang failed. */
  TASK_FAILED("task-failed"),
  /** A new keeper found only a part of the gang running. */
  PARTIAL_GANG("partial-gang"),
  /** Taken back for a guarantee or for urgent work. */
  PREEMPTED("preempted"),
  /** Moved so that free capacity lies together. */
  DEFRAGMENTED("defragmented"),
  /** A task used more memory than declared. */
  MEMORY_EXCEEDED("memory-exceeded"),
  /** The failure domain goes out. */
  DOMAIN_OUT("domain-out"),
  /** The lease ended between the two steps of the start. */
  LEASE_LOST("lease-lost"),
  /** The limit of retries for this kind of failure is reached. */
  RETRIES_EXHAUSTED("retries-exhausted"),
  /** Refused: the customer is not configured. */
  REFUSED_CUSTOMER("refused-customer"),
  /** Refused: one task is larger than any worker. */
  REFUSED_TASK_SIZE("refused-task-size"),
  /** Refused: the gang is larger than any worker or rack that the adjacency allows. */
  REFUSED_ADJACENCY("refused-adjacency"),
  /** Refused: the gang is larger than the failure domain. */
  REFUSED_GANG_SIZE("refused-gang-size"),
  /** Refused: the gang is larger than the customer's quota. */
  REFUSED_QUOTA("refused-quota"),
  /** Refused: the job cannot be preempted and never fits beside the guarantees. */
  REFUSED_GUARANTEES("refused-guarantees");

  private final String label;

  JobReason(String label) {
    this.label = label;
  }

  /**
   * Returns the stable text of this reason, used by counters and callers.
   *
   * @since 0.1
   */
  public String label() {
    return label;
  }
}
