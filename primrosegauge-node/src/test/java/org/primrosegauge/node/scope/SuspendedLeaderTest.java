package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.log.LogMessage;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.ScopeScheduler;
import org.primrosegauge.core.scope.cfg.ScopeSettings;
import org.primrosegauge.node.FreePort;
import org.primrosegauge.node.log.MemoryStorage;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.transport.PeerAddress;
import org.primrosegauge.node.transport.PeerSecurity;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.MessageTypes;

/**
 * A leader whose machine is suspended: its monotonic clock stands still, its wall clock doesn't.
 */
class SuspendedLeaderTest {

  private static final List<InstanceId> VOTERS =
      List.of(
          new InstanceId("127.0.0.8"), new InstanceId("127.0.0.9"), new InstanceId("127.0.0.10"));
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final long STEP_MILLIS = 10;
  private static final long SUSPENDED_MILLIS = 6_000;

  private final AtomicLong wallMillis = new AtomicLong(1_000_000);
  private final List<Node> nodes = new ArrayList<>();

  /** Replica with its own monotonic clock, which can stand still. */
  private final class Node implements AutoCloseable {

    private final AtomicLong monotonicMillis = new AtomicLong(50_000);
    private final PeerTransport transport;
    private final ScopeReplica replica;

    Node(InstanceId self, int port) throws Exception {
      NodeMetrics metrics = new NodeMetrics();
      FrameCodec frames =
          new FrameCodec(
              MessageTypes.builder()
                  .family("log", LogMessage.class)
                  .family("scope", ScopeMessage.class)
                  .build());
      transport = new PeerTransport(self, frames, metrics, PeerSecurity.NONE);
      transport.resolver(peer -> Optional.of(new PeerAddress(peer, peer.value(), port)));
      ScopeLedger ledger = new ScopeLedger(60_000);
      replica =
          new ScopeReplica(
              ScopeInstance.logSettings(self, VOTERS, VOTERS.size(), 4_000),
              ledger,
              new ScopeScheduler(ledger, ScopeSettings.DEFAULT),
              monotonicMillis.get(),
              new ScopeReplica.Dependencies(
                  new MemoryStorage(),
                  new Random(self.hashCode()),
                  monotonicMillis::get,
                  wallMillis::get,
                  transport,
                  null,
                  SuspendedLeaderTest::parse,
                  new ScopeEventLog(metrics),
                  new ScopeMetrics(metrics),
                  failure -> {
                    throw new IllegalStateException(failure);
                  }));
      transport.start(self.value(), port);
      replica.start();
    }

    ScopeMessage.Answer ask(ScopeMessage.Question question) {
      return replica.answer(question).block(TIMEOUT);
    }

    boolean isLeading() {
      return ask(new ScopeMessage.AskLeader()) instanceof ScopeMessage.Leader leader
          && leader.isAuthoritative();
    }

    @Override
    public void close() {
      replica.close();
      transport.close();
    }
  }

  @AfterEach
  void stop() {
    nodes.forEach(Node::close);
  }

  /** Guards against a lease that outlives a suspension, so that an old configuration is read. */
  @Test
  void doesNotReadOldConfigurationWhenItWakes() throws Exception {
    int port = FreePort.on(VOTERS.get(0).value());
    for (InstanceId voter : VOTERS) {
      nodes.add(new Node(voter, port));
    }
    Node first = awaitLeader(nodes);
    assertThat(first.ask(configure(1))).isEqualTo(new ScopeMessage.Done());
    // The clock of the leader stands still from here on, and nothing reaches it.
    first.transport.close();
    List<Node> others = nodes.stream().filter(node -> node != first).toList();
    Node second = awaitLeader(others);
    assertThat(second.ask(configure(2))).isEqualTo(new ScopeMessage.Done());
    wallMillis.addAndGet(SUSPENDED_MILLIS);
    assertThat(first.ask(new ScopeMessage.AskConfiguration()))
        .isNotEqualTo(new ScopeMessage.Configuration("revision 1"));
  }

  /** Lets the time of some replicas pass until one of them leads. */
  private Node awaitLeader(List<Node> running) {
    long endNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (System.nanoTime() < endNanos) {
      wallMillis.addAndGet(STEP_MILLIS);
      running.forEach(node -> node.monotonicMillis.addAndGet(STEP_MILLIS));
      LockSupport.parkNanos(Duration.ofMillis(STEP_MILLIS).toNanos());
      Optional<Node> leader = running.stream().filter(Node::isLeading).findFirst();
      if (leader.isPresent()) {
        return leader.get();
      }
    }
    throw new AssertionError("no leader");
  }

  private static ScopeMessage.Question configure(long revision) {
    return new ScopeMessage.Configure(new Revision(revision), "revision " + revision);
  }

  /** Parses a configuration whose text names its revision. */
  private static ScopeConfiguration parse(String content) {
    long revision = Long.parseLong(content.substring("revision ".length()));
    return new ScopeConfiguration(new Revision(revision), List.of(), List.of(), 1_000);
  }
}
