package org.primrosegauge.core.scope;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * What the ledger holds of one lifetime of a worker. Changed by {@link ScopeLedger} only.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2
 */
public final class WorkerRecord {

  private final WorkerInfo info;
  private final Set<RunId> openRuns = new LinkedHashSet<>();
  private long lastEnd;
  private boolean draining;
  private boolean renewalSuspended;

  WorkerRecord(WorkerInfo info, long lastEnd) {
    this.info = info;
    this.lastEnd = lastEnd;
  }

  /**
   * Returns what the worker announced.
   *
   * @since 0.2
   */
  public WorkerInfo info() {
    return info;
  }

  /**
   * Returns the number of the last end that is recorded; the worker may forget up to it.
   *
   * @since 0.2
   */
  public long lastEnd() {
    return lastEnd;
  }

  /**
   * Returns the runs that may be going on there.
   *
   * @since 0.2
   */
  public Set<RunId> openRuns() {
    return openRuns;
  }

  /**
   * Tells whether it leaves and gets nothing new.
   *
   * @since 0.3
   */
  public boolean isDraining() {
    return draining;
  }

  /**
   * Tells whether no leader renews the lease of what runs there.
   *
   * @since 0.3
   */
  public boolean isRenewalSuspended() {
    return renewalSuspended;
  }

  void setDraining(boolean isDraining) {
    draining = isDraining;
  }

  void setRenewalSuspended(boolean isSuspended) {
    renewalSuspended = isSuspended;
  }

  void advanceLastEnd(long number) {
    lastEnd = Math.max(lastEnd, number);
  }
}
