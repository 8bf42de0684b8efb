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

/** Creates replicated logs with one member for tests. A storage failure throws an exception. */
final class SingleReplicaLog {

  private static final InstanceId SELF = new InstanceId("a");
  private static final int QUEUE_CAPACITY = 8_192;

  private SingleReplicaLog() {}

  static <R> ReplicatedLog<R> create(LogStorage storage, ReplicatedStateMachine<R> state)
      throws StorageException {
    FrameCodec codec =
        new FrameCodec(MessageTypes.builder().family("log", LogMessage.class).build());
    return new ReplicatedLog<>(
        LogSettings.of(SELF, List.of(SELF)),
        QUEUE_CAPACITY,
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

  /** Starts a log and waits until its replica is the leader. */
  static void startAndLead(ReplicatedLog<?> log) {
    log.start();
    while (log.leader() == null) {
      Thread.onSpinWait();
    }
  }
}
