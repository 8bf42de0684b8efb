package org.primrosegauge.standin;

import java.util.concurrent.atomic.AtomicInteger;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.wire.target.ExecutorAnnouncement;

/**
 * One executor without a real service: it answers each request with the request's own body after a
 * fixed time.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class ExecutorStandin {

  private final TargetId id;
  private final ServiceId service;
  private final FailureDomainId domain;
  private final int slots;
  private final int connections;
  private final String address;
  private final AtomicInteger inProgress = new AtomicInteger();
  private final AtomicInteger mostInProgress = new AtomicInteger();
  private final AtomicInteger begun = new AtomicInteger();
  private volatile boolean leaving;
  private volatile boolean failing;

  /**
   * Creates an idle executor.
   *
   * @param address base address of its HTTP interface
   * @since 0.1
   */
  public ExecutorStandin(
      TargetId id,
      ServiceId service,
      FailureDomainId domain,
      int slots,
      int connections,
      String address) {
    this.id = id;
    this.service = service;
    this.domain = domain;
    this.slots = slots;
    this.connections = connections;
    this.address = address;
  }

  /**
   * Returns the id of the executor.
   *
   * @since 0.1
   */
  public TargetId id() {
    return id;
  }

  /**
   * Notes that a request began.
   *
   * @return false when the executor already works on as many requests as it has slots
   * @since 0.1
   */
  public boolean begin() {
    int now = inProgress.incrementAndGet();
    mostInProgress.accumulateAndGet(now, Math::max);
    if (now > slots) {
      inProgress.decrementAndGet();
      return false;
    }
    begun.incrementAndGet();
    return true;
  }

  /**
   * Notes that a request ended.
   *
   * @since 0.1
   */
  public void end() {
    inProgress.decrementAndGet();
  }

  /**
   * Makes the executor fail everything from now on, or no longer.
   *
   * @since 0.1
   */
  public void fail(boolean everything) {
    failing = everything;
  }

  /**
   * Tells whether the executor fails everything.
   *
   * @since 0.1
   */
  public boolean isFailing() {
    return failing;
  }

  /**
   * Says that the executor is shutting down.
   *
   * @since 0.1
   */
  public void leave() {
    leaving = true;
  }

  /**
   * Returns the most requests that it was ever asked to work on at a time.
   *
   * @since 0.1
   */
  public int mostInProgress() {
    return mostInProgress.get();
  }

  /**
   * Returns how many requests began.
   *
   * @since 0.1
   */
  public int begun() {
    return begun.get();
  }

  /**
   * Returns what the executor announces now.
   *
   * @since 0.1
   */
  public ExecutorAnnouncement announcement() {
    return new ExecutorAnnouncement(
        address, service, domain, slots, connections, inProgress.get(), leaving);
  }
}
