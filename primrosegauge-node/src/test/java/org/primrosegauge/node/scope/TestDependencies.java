package org.primrosegauge.node.scope;

import java.util.Random;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.log.LogMessage;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.log.LogStorage;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.transport.PeerSecurity;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.MessageTypes;

/** Ports of an instance without peers, for tests; a failure of its storage fails the test. */
final class TestDependencies {

  private TestDependencies() {}

  /** Returns ports whose monotonic and wall clocks are the same. */
  static ScopeReplica.Dependencies singleInstance(
      InstanceId self, LogStorage storage, MonotonicClock clock, WorkerClient workers) {
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
        new ScopeEventLog(metrics),
        new ScopeMetrics(metrics),
        failure -> {
          throw new IllegalStateException(failure);
        });
  }
}
