package org.primrosegauge.bench.scope;

import java.lang.ref.Reference;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.ScopeSnapshot;
import org.primrosegauge.node.log.PolymorphicCodec;
import org.primrosegauge.wire.WireException;

/** Heap that a ledger takes. */
final class LedgerHeap {

  private static final long RETENTION_MILLIS = 1_000_000;
  private static final int GC_ROUNDS = 4;

  private LedgerHeap() {}

  /** Returns the bytes of heap of a ledger that holds nothing but copies of a snapshot. */
  static long bytesOf(ScopeSnapshot snapshot) {
    PolymorphicCodec codec = new PolymorphicCodec(ScopeCommand.class);
    byte[] written = codec.write(snapshot);
    try {
      final long before = usedBytes();
      ScopeLedger ledger = new ScopeLedger(RETENTION_MILLIS);
      ledger.restore(codec.read(written, ScopeSnapshot.class));
      long after = usedBytes();
      Reference.reachabilityFence(ledger);
      return Math.max(0, after - before);
    } catch (WireException error) {
      throw new IllegalStateException("a snapshot cannot be read back", error);
    }
  }

  private static long usedBytes() {
    for (int i = 0; i < GC_ROUNDS; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
