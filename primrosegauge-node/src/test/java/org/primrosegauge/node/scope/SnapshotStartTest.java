package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.HardState;
import org.primrosegauge.core.log.LogAction;
import org.primrosegauge.core.log.LogIndex;
import org.primrosegauge.core.log.LogSnapshot;
import org.primrosegauge.core.log.Membership;
import org.primrosegauge.core.log.RecoveredLog;
import org.primrosegauge.core.log.StorageId;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.ScopeScheduler;
import org.primrosegauge.core.scope.cfg.ScopeSettings;
import org.primrosegauge.node.log.LogStorage;
import org.primrosegauge.node.log.PolymorphicCodec;

/** Start of a replica whose storage holds a snapshot. */
class SnapshotStartTest {

  private static final InstanceId SELF = new InstanceId("a");
  private static final LogIndex INDEX = new LogIndex(7);

  /** Storage with a snapshot and no later entries. */
  private record SnapshotStorage(byte[] state) implements LogStorage {

    @Override
    public RecoveredLog recover() {
      return new RecoveredLog(
          new StorageId("s"),
          HardState.INITIAL,
          new LogSnapshot(INDEX, new Term(2), 0, Membership.NONE, state),
          List.of());
    }

    @Override
    public void write(LogAction.Persist write) {
      // Not needed in this test.
    }

    @Override
    public void sync() {
      // Not needed in this test.
    }

    @Override
    public void close() {
      // No resources are open.
    }
  }

  @Test
  void replicaStartsFromSnapshot() throws StorageException {
    ScopeLedger before = new ScopeLedger(60_000);
    before.apply(
        new ScopeCommand.Configure(
            new ScopeConfiguration(new Revision(3), List.of(), List.of(), 1_000), "text"));
    byte[] state = new PolymorphicCodec(ScopeCommand.class).write(before.snapshot());
    ScopeLedger ledger = new ScopeLedger(60_000);
    new ScopeReplica(
        ScopeInstance.logSettings(SELF, List.of(), 1, 4_000),
        ledger,
        new ScopeScheduler(ledger, ScopeSettings.DEFAULT),
        0,
        TestDependencies.singleInstance(SELF, new SnapshotStorage(state), () -> 0, null));
    assertThat(ledger.configuration().revision()).isEqualTo(new Revision(3));
    assertThat(ledger.content()).isEqualTo("text");
  }
}
