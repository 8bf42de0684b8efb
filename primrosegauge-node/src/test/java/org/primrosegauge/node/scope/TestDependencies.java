package org.primrosegauge.node.scope;

import java.util.Random;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.log.LogMessage;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.log.LogStorage;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.transport.PeerSecurity;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.MessageTypes;

/** Dependencies of a replica without peers, for tests; a storage failure fails the test. */
final class TestDependencies {

  private TestDependencies() {}

  /** Returns dependencies that use the same clock as monotonic clock and as wall clock. */
  static ScopeReplica.Dependencies singleInstance(
      InstanceId self, LogStorage storage, MonotonicClock clock, WorkerClient workers) {
    return singleInstance(self, storage, clock, workers, content -> ScopeConfiguration.NONE);
  }

  /** Returns dependencies with a parser of configurations. */
  static ScopeReplica.Dependencies singleInstance(
      InstanceId self,
      LogStorage storage,
      MonotonicClock clock,
      WorkerClient workers,
      ConfigurationParser configurations) {
    NodeMetrics metrics = new NodeMetrics();
    FrameCodec frames =
        new FrameCodec(MessageTypes.builder().family("log", LogMessage.class).build());
    return new ScopeReplica.Dependencies(
        storage,
        new Random(1),
        clock,
        clock,
        new PeerTransport(self, frames, metrics, PeerSecurity.NONE),
        workers,
        configurations,
        new ScopeEventLog(metrics),
        new ScopeMetrics(metrics),
        failure -> {
          throw new IllegalStateException(failure);
        });
  }
}
