package org.primrosegauge.node.log;

import java.util.List;
import java.util.Random;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.log.LogMessage;
import org.primrosegauge.core.log.cfg.LogSettings;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.transport.PeerSecurity;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.MessageTypes;

/** A replicated log with one member, for tests; a failure of its storage fails the test. */
final class SingleReplicaLog {

  private static final InstanceId SELF = new InstanceId("a");
  private static final int RING_CAPACITY = 8_192;

  private SingleReplicaLog() {}

  static <R> ReplicatedLog<R> create(LogStorage storage, ReplicatedStateMachine<R> state)
      throws StorageException {
    FrameCodec codec =
        new FrameCodec(MessageTypes.builder().family("log", LogMessage.class).build());
    return new ReplicatedLog<>(
        LogSettings.of(SELF, List.of(SELF)),
        RING_CAPACITY,
        MonotonicClock.system().nowMillis(),
        new ReplicatedLog.Dependencies(
            storage,
            new Random(1),
            MonotonicClock.system(),
            new PeerTransport(SELF, codec, new NodeMetrics(), PeerSecurity.NONE),
            failure -> {
              throw new IllegalStateException(failure);
            }),
        state);
  }

  /** Starts a log and waits until it leads. */
  static void startAndLead(ReplicatedLog<?> log) {
    log.start();
    while (log.leader() == null) {
      Thread.onSpinWait();
    }
  }
}
