package org.primrosegauge.core.job;

import java.util.List;
import org.primrosegauge.core.InstanceId;

/**
 * What the owner of a {@link JobLedger} has to carry out. Both are sent again until acknowledged.
 *
 * @since 0.1
 */
public sealed interface LedgerAction {

  /**
   * Returns the record to hand on.
   *
   * @since 0.1
   */
  LedgerRecord record();

  /** Send the record to peers; each merges it and acknowledges the stamp. */
  record ReplicateToPeers(LedgerRecord record, List<InstanceId> peers) implements LedgerAction {}

  /** Propose the record to the log under the packed stamp. */
  record ProposeToLog(LedgerRecord record) implements LedgerAction {}
}
