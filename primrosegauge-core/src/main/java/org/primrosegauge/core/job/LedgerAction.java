package org.primrosegauge.core.job;

import java.util.List;
import org.primrosegauge.core.InstanceId;

/**
 * Action that the owner of a {@link JobLedger} must perform. Actions are issued again until they
 * are acknowledged.
 *
 * @since 0.1
 */
public sealed interface LedgerAction {

  /**
   * Returns the record to replicate.
   *
   * @since 0.1
   */
  LedgerRecord record();

  /** Sends the record to peers; each merges it and acknowledges the stamp. */
  record ReplicateToPeers(LedgerRecord record, List<InstanceId> peers) implements LedgerAction {}

  /** Proposes the record to the log, with the packed stamp as its version. */
  record ProposeToLog(LedgerRecord record) implements LedgerAction {}
}
