package org.primrosegauge.node.transport;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.MessageTypes;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

class PeerTransportTest {

  private static final String HOST = "127.0.0.1";
  private static final InstanceId ASKER = new InstanceId("asker");
  private static final InstanceId PEER = new InstanceId("peer");
  private static final Duration SHORT_WAIT = Duration.ofMillis(300);
  private static final long PATIENCE_SECONDS = 60;
  private static final int MAX_POLLS = 3_000;

  record Note(String text) {}

  private final List<AutoCloseable> open = new ArrayList<>();

  @AfterEach
  void closeAll() throws Exception {
    for (AutoCloseable each : open) {
      each.close();
    }
  }

  private PeerTransport transport(InstanceId id) {
    FrameCodec codec = new FrameCodec(MessageTypes.builder().family("test", Note.class).build());
    PeerTransport transport = new PeerTransport(id, codec, new NodeMetrics(), PeerSecurity.NONE);
    open.add(transport);
    return transport;
  }

  private static ErrorKind kindOf(Mono<?> asked) {
    RuntimeException error = assertThrows(RuntimeException.class, asked::block);
    return ((PrimrosegaugeException) Exceptions.unwrap(error)).kind();
  }

  private static void awaitConnection(PeerTransport transport) throws InterruptedException {
    while (!transport.isConnected(PEER)) {
      Thread.sleep(10);
    }
  }

  @Test
  void questionWithoutReplyHasUnknownOutcome() throws Exception {
    PeerTransport peer = transport(PEER);
    peer.onAsk(Note.class, (from, note) -> Mono.never());
    peer.start(HOST, 0);
    PeerTransport asker = transport(ASKER);
    asker.connect(new PeerAddress(PEER, HOST, peer.port()));
    awaitConnection(asker);
    assertThat(kindOf(asker.ask(PEER, new Note("x"), Note.class, SHORT_WAIT)))
        .isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
  }

  @Test
  void questionThatWasNotSentIsUnavailable() {
    PeerTransport asker = transport(ASKER);
    assertThat(kindOf(asker.ask(PEER, new Note("x"), Note.class, SHORT_WAIT)))
        .isEqualTo(ErrorKind.UNAVAILABLE);
  }

  /** The peer closed the connection, and the question was sent again for ever. */
  @Test
  void questionLargerThanFrameIsRefusedAndTheConnectionStands() throws Exception {
    PeerTransport peer = transport(PEER);
    peer.onAsk(Note.class, (from, note) -> Mono.just(note));
    peer.start(HOST, 0);
    PeerTransport asker = transport(ASKER);
    asker.connect(new PeerAddress(PEER, HOST, peer.port()));
    awaitConnection(asker);
    Duration wait = Duration.ofSeconds(PATIENCE_SECONDS);
    Note large = new Note("x".repeat(PeerTransport.MAX_FRAME_BYTES));
    assertThat(kindOf(asker.ask(PEER, large, Note.class, wait))).isEqualTo(ErrorKind.OVER_LIMIT);
    Note fitting = new Note("x".repeat(LogEntry.MAX_COMMAND_BYTES));
    assertThat(asker.ask(PEER, fitting, Note.class, wait).block().equals(fitting)).isTrue();
  }

  @Test
  void resolverOpensConnectionOnDemand() throws Exception {
    PeerTransport peer = transport(PEER);
    peer.onAsk(Note.class, (from, note) -> Mono.just(note));
    peer.start(HOST, 0);
    PeerTransport asker = transport(ASKER);
    asker.resolver(id -> java.util.Optional.of(new PeerAddress(id, HOST, peer.port())));
    asker.tell(PEER, new Note("opens the connection"));
    awaitConnection(asker);
    Note reply =
        asker.ask(PEER, new Note("x"), Note.class, Duration.ofSeconds(PATIENCE_SECONDS)).block();
    assertThat(reply.text()).isEqualTo("x");
  }

  /**
   * A peer that was down when the connection to it was tried is back and says something, long
   * before the next try is due.
   */
  @Test
  void messageOfPeerOpensTheConnectionToItAtOnce() throws Exception {
    int port;
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      port = free.getLocalPort();
    }
    FrameCodec codec = new FrameCodec(MessageTypes.builder().family("test", Note.class).build());
    Retry retry = Retry.fixedDelay(Long.MAX_VALUE, Duration.ofDays(1));
    PeerTransport asker =
        new PeerTransport(ASKER, codec, new NodeMetrics(), PeerSecurity.NONE, retry);
    open.add(asker);
    asker.onTell(Note.class, (from, note) -> {});
    asker.start(HOST, 0);
    asker.connect(new PeerAddress(PEER, HOST, port));
    PeerTransport peer = transport(PEER);
    peer.start(HOST, port);
    peer.connect(new PeerAddress(ASKER, HOST, asker.port()));
    for (int i = 0; i < MAX_POLLS && !asker.isConnected(PEER); i++) {
      peer.tell(ASKER, new Note("back"));
      Thread.sleep(10);
    }
    assertThat(asker.isConnected(PEER)).isTrue();
  }

  /** A peer that accepts connections and then says nothing, not even to probes. */
  @Test
  void connectionThatFellSilentIsOpenedAgain() throws Exception {
    ServerSocket silent = new ServerSocket(0, 8, InetAddress.getByName(HOST));
    open.add(silent);
    CountDownLatch connections = new CountDownLatch(2);
    Thread acceptor =
        new Thread(
            () -> {
              List<Socket> kept = new ArrayList<>();
              try {
                while (connections.getCount() > 0) {
                  kept.add(silent.accept());
                  connections.countDown();
                }
              } catch (IOException e) {
                connections.countDown();
              }
            });
    acceptor.start();
    transport(ASKER).connect(new PeerAddress(PEER, HOST, silent.getLocalPort()));
    assertThat(connections.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
  }
}
