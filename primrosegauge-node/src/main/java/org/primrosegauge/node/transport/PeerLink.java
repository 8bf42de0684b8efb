package org.primrosegauge.node.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.tcp.TcpClient;
import reactor.util.retry.Retry;

/**
 * The outgoing connection to one peer. It is opened again, with back-off and jitter, whenever it
 * ends.
 *
 * <p>Thread-safe. Life-cycle: connects when created, until {@link #close}.
 */
final class PeerLink implements AutoCloseable {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final Duration FIRST_BACKOFF = Duration.ofMillis(50);
  private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);
  private static final double BACKOFF_JITTER = 0.5;
  private static final int MAX_IN_FLIGHT = 1_024;

  private final AtomicInteger inFlight = new AtomicInteger();
  private final Disposable connecting;
  private volatile Channel channel;

  PeerLink(PeerAddress peer, PeerSecurity security, BiConsumer<Channel, byte[]> receiver) {
    TcpClient client =
        TcpClient.newConnection()
            .host(peer.host())
            .port(peer.port())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .doOnChannelInit(
                (observer, opened, remote) ->
                    PeerTransport.installFraming(
                        opened, new PeerTransport.FrameReader(receiver, security)));
    // The element that a new connection emits makes the retry operator start its back-off afresh.
    Flux<Channel> session =
        Mono.defer(() -> security.secure(client).connect())
            .flatMapMany(this::serve)
            .concatWith(Mono.error(new ConnectionEndedException()));
    this.connecting =
        session
            .retryWhen(
                Retry.backoff(Long.MAX_VALUE, FIRST_BACKOFF)
                    .maxBackoff(MAX_BACKOFF)
                    .jitter(BACKOFF_JITTER)
                    .transientErrors(true))
            .subscribe(opened -> {}, error -> {});
  }

  boolean isConnected() {
    Channel current = channel;
    return current != null && current.isActive();
  }

  /** Writes one frame; false when the connection is down or has too many frames in flight. */
  boolean write(byte[] frame) {
    Channel current = channel;
    if (current == null || !current.isActive()) {
      return false;
    }
    if (inFlight.incrementAndGet() > MAX_IN_FLIGHT) {
      inFlight.decrementAndGet();
      return false;
    }
    current
        .writeAndFlush(Unpooled.wrappedBuffer(frame))
        .addListener(written -> inFlight.decrementAndGet());
    return true;
  }

  @Override
  public void close() {
    connecting.dispose();
    Channel current = channel;
    if (current != null) {
      current.close();
    }
  }

  private Flux<Channel> serve(Connection connection) {
    channel = connection.channel();
    // Reads start with a subscriber; the frames themselves end at the handler before it.
    Mono<Channel> reading = connection.inbound().receive().then(Mono.empty());
    return Flux.concat(Mono.just(channel), reading, connection.onDispose().then(Mono.empty()));
  }

  /** Makes the retry operator open the connection again. */
  private static final class ConnectionEndedException extends Exception {
    private static final long serialVersionUID = 1L;

    ConnectionEndedException() {
      super("connection ended", null, false, false);
    }
  }
}
