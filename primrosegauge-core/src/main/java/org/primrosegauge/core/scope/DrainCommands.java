package org.primrosegauge.core.scope;

import java.util.List;

/**
 * Derives the commands that must be committed before a worker's heartbeat is acknowledged: those
 * that record the start or the cancellation of its drain. Otherwise a later leader would not know
 * of the drain and would place runs on the worker.
 *
 * <p>Stateless; performs no I/O.
 *
 * @since 0.3
 */
public final class DrainCommands {

  private DrainCommands() {}

  /**
   * Returns the commands to commit before a heartbeat is acknowledged, in order.
   *
   * <p>An unknown worker is registered first, as draining an unknown worker has no effect. One that
   * would replace a registered incarnation has to respond first, which the scheduler sees to.
   *
   * @param ledger state applied so far
   * @param heartbeat heartbeat of a worker
   * @return commands; empty if the ledger already holds the same drain state or that of a later
   *     heartbeat, or another incarnation with the target or the address of the worker
   * @since 0.3
   */
  public static List<ScopeCommand> forHeartbeat(ScopeLedger ledger, WorkerHeartbeat heartbeat) {
    WorkerKey key = heartbeat.info().key();
    ScopeCommand switchDrain =
        new ScopeCommand.SwitchDrain(key, heartbeat.isDraining(), heartbeat.sequence());
    WorkerRecord known = ledger.worker(key).orElse(null);
    if (known != null) {
      boolean isLate = heartbeat.sequence() < known.drainSequence();
      boolean isChanged = known.isDraining() != heartbeat.isDraining() && !isLate;
      boolean isOwn = known.info().isSameIncarnation(heartbeat.info());
      return isChanged && isOwn ? List.of(switchDrain) : List.of();
    }
    if (!heartbeat.isDraining() || !ledger.rivalsOf(heartbeat.info()).isEmpty()) {
      return List.of();
    }
    return List.of(new ScopeCommand.SeeWorker(heartbeat.info()), switchDrain);
  }
}
