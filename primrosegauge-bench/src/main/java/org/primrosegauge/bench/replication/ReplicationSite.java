package org.primrosegauge.bench.replication;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;
import org.primrosegauge.core.log.LogMessage;
import org.primrosegauge.core.log.cfg.LogSettings;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.journal.Journal;
import org.primrosegauge.node.log.RegistryMessage;
import org.primrosegauge.node.log.RegistryService;
import org.primrosegauge.node.log.ReplicatedRegistry;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.transport.PeerAddress;
import org.primrosegauge.node.transport.PeerSecurity;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.MessageTypes;

/** Instances of one site in this process, joined by TCP over the loopback interface. */
final class ReplicationSite implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final long PULL_MILLIS = 1_000;
  private static final int RING_CAPACITY = 8_192;
  private static final MessageTypes TYPES =
      MessageTypes.builder()
          .family("log", LogMessage.class)
          .family("registry", RegistryMessage.class)
          .build();

  /** One instance. */
  private record Node(InstanceId id, PeerTransport transport, RegistryService service) {}

  private final List<Node> nodes = new ArrayList<>();
  private final List<ReplicatedRegistry> logs = new ArrayList<>();
  private final ScheduledExecutorService pulls = Executors.newScheduledThreadPool(1);
  private volatile int pausedFollower = -1;

  ReplicationSite(int instances, int voters, Path folder) throws Exception {
    List<InstanceId> ids = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      ids.add(new InstanceId(String.format("i%02d", i)));
    }
    List<InstanceId> voterIds = ids.subList(0, voters);
    for (InstanceId id : ids) {
      PeerTransport transport =
          new PeerTransport(id, new FrameCodec(TYPES), new NodeMetrics(), PeerSecurity.NONE);
      RegistryService service = new RegistryService(id, transport, voterIds, ids, List.of());
      nodes.add(new Node(id, transport, service));
      transport.start(HOST, 0);
    }
    for (Node node : nodes) {
      for (Node peer : nodes) {
        node.transport().connect(new PeerAddress(peer.id(), HOST, peer.transport().port()));
      }
    }
    for (int i = 0; i < voters; i++) {
      startLog(nodes.get(i), voterIds, folder.resolve(ids.get(i).value()), i);
    }
    startPulls(voters);
  }

  private void startLog(Node node, List<InstanceId> voters, Path folder, long seed)
      throws Exception {
    ReplicatedRegistry log =
        new ReplicatedRegistry(
            LogSettings.of(node.id(), voters),
            KeeperSettings.DEFAULT,
            RING_CAPACITY,
            new Journal(folder),
            new SplittableRandom(seed),
            MonotonicClock.system(),
            node.transport(),
            node.service()::update,
            failure -> {
              throw new IllegalStateException(failure);
            });
    node.service().attach(log);
    log.start();
    logs.add(log);
  }

  private void startPulls(int voters) {
    for (int i = voters; i < nodes.size(); i++) {
      int follower = i;
      Runnable pull =
          () -> {
            if (follower != pausedFollower) {
              nodes.get(follower).service().pull();
            }
          };
      long delay = PULL_MILLIS * (i - voters) / nodes.size();
      pulls.scheduleAtFixedRate(pull, delay, PULL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Returns the service of a voter, for operators. */
  RegistryService service() {
    return nodes.get(0).service();
  }

  /** Stops the last instance from following, as if it were down; -1 ends that. */
  void pauseLast(boolean paused) {
    pausedFollower = paused ? nodes.size() - 1 : -1;
  }

  /** Tells whether a revision is in force on all instances, or on all but the last. */
  boolean isInForce(Revision revision, boolean withLast) {
    return nodes.subList(0, nodes.size() - (withLast ? 0 : 1)).stream()
        .allMatch(node -> node.service().inForce().compareTo(revision) >= 0);
  }

  /** Returns the bytes sent and received by each instance so far. */
  long[] bytes() {
    return nodes.stream()
        .mapToLong(node -> node.transport().bytesSent() + node.transport().bytesReceived())
        .toArray();
  }

  @Override
  public void close() {
    pulls.shutdownNow();
    logs.forEach(ReplicatedRegistry::close);
    nodes.forEach(node -> node.transport().close());
  }
}
