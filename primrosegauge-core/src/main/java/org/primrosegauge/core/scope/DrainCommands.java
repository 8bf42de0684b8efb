package org.primrosegauge.core.scope;

import java.util.List;

/**
 * What the log must hold of a heartbeat before it is acknowledged: that the worker leaves, or that
 * it stays after all. A later leader that did not know would send it work.
 *
 * <p>Without state and without I/O.
 *
 * @since 0.3
 */
public final class DrainCommands {

  private DrainCommands() {}

  /**
   * Returns the commands to record before a heartbeat is acknowledged, in their order.
   *
   * <p>A worker that is not known yet is recorded first: otherwise its leave would name nobody.
   *
   * @param ledger state as applied so far
   * @param status what the heartbeat says
   * @return the commands; empty when the ledger says the same, or knows a later lifetime
   * @since 0.3
   */
  public static List<ScopeCommand> forHeartbeat(ScopeLedger ledger, WorkerHeartbeat status) {
    WorkerKey key = status.info().key();
    ScopeCommand leave = new ScopeCommand.SwitchDrain(key, status.isDraining());
    WorkerRecord known = ledger.worker(key).orElse(null);
    if (known != null) {
      return known.isDraining() == status.isDraining() ? List.of() : List.of(leave);
    }
    if (!status.isDraining() || ledger.isSuperseded(status.info())) {
      return List.of();
    }
    return List.of(new ScopeCommand.SeeWorker(status.info()), leave);
  }
}
