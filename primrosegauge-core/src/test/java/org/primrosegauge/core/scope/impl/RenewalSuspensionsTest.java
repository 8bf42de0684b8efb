package org.primrosegauge.core.scope.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.scope.ClockReading;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.WorkerInfo;

/** When a replica may count a lease from, by what it has learned of its renewal. */
class RenewalSuspensionsTest {

  private static final WorkerInfo WORKER = CoreFixture.worker(1, 1);

  private final ScopeLedger ledger = new ScopeLedger(60_000);
  private final RenewalSuspensions suspensions = new RenewalSuspensions(ledger);

  @BeforeEach
  void registerWorker() {
    apply(new ScopeCommand.SeeWorker(WORKER), 1_000);
    switchRenewal(true, 2_000);
  }

  @Test
  void countsFromFirstSuspension() {
    switchRenewal(true, 3_000);
    assertThat(suspensions.suspendedSinceMillis(WORKER.key(), 9_000)).isEqualTo(2_000);
  }

  @Test
  void countsFromLatestSuspensionAfterResumption() {
    switchRenewal(false, 4_000);
    switchRenewal(true, 5_000);
    assertThat(suspensions.suspendedSinceMillis(WORKER.key(), 9_000)).isEqualTo(5_000);
  }

  /** The lease may have been renewed between the two states of the ledger. */
  @Test
  void countsFromNowAfterLedgerReplacement() {
    suspensions.clear();
    assertThat(suspensions.suspendedSinceMillis(WORKER.key(), 9_000)).isEqualTo(9_000);
    assertThat(suspensions.suspendedSinceMillis(WORKER.key(), 12_000)).isEqualTo(9_000);
  }

  private void switchRenewal(boolean isSuspended, long atMillis) {
    apply(new ScopeCommand.SwitchRenewal(List.of(WORKER.key()), isSuspended), atMillis);
  }

  private void apply(ScopeCommand command, long atMillis) {
    ledger.apply(command);
    suspensions.applied(command, new ClockReading(atMillis, atMillis));
  }
}
