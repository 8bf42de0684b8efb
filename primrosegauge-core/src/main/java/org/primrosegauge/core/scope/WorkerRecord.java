package org.primrosegauge.core.scope;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * State of a worker incarnation in the ledger. Modified only by {@link ScopeLedger}.
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
  private long drainSequence;
  private boolean renewalSuspended;

  WorkerRecord(WorkerInfo info, long lastEnd) {
    this.info = info;
    this.lastEnd = lastEnd;
  }

  /**
   * Returns the announcement of the worker.
   *
   * @since 0.2
   */
  public WorkerInfo info() {
    return info;
  }

  /**
   * Returns the number of the last recorded end of a run; the worker may discard the ends up to it.
   *
   * @since 0.2
   */
  public long lastEnd() {
    return lastEnd;
  }

  /**
   * Returns the open runs: those that may still be active on the worker.
   *
   * @since 0.2
   */
  public Set<RunId> openRuns() {
    return openRuns;
  }

  /**
   * Returns whether the worker is draining, so that no new runs are placed on it.
   *
   * @since 0.3
   */
  public boolean isDraining() {
    return draining;
  }

  /**
   * Returns the sequence number of the heartbeat that {@link #isDraining} rests on; 0 if there was
   * none.
   *
   * @since 0.4
   */
  public long drainSequence() {
    return drainSequence;
  }

  /**
   * Returns whether leaders must not renew the lease of the worker's runs.
   *
   * @since 0.3
   */
  public boolean isRenewalSuspended() {
    return renewalSuspended;
  }

  /** Notes whether the worker drains, unless a later heartbeat has said otherwise. */
  void setDraining(boolean isDraining, long sequence) {
    if (sequence >= drainSequence || sequence == 0) {
      draining = isDraining;
      drainSequence = sequence;
    }
  }

  void setRenewalSuspended(boolean isSuspended) {
    renewalSuspended = isSuspended;
  }

  void advanceLastEnd(long endNumber) {
    lastEnd = Math.max(lastEnd, endNumber);
  }
}
