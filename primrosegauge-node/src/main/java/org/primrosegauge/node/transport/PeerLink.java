package org.primrosegauge.node.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
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

  /**
   * Shorter than the time after which a lost connection request is sent again, which is a second:
   * an instance without power answers none.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 250;

  private static final Duration FIRST_BACKOFF = Duration.ofMillis(50);
  private static final Duration MAX_BACKOFF = Duration.ofMillis(200);
  private static final double BACKOFF_JITTER = 0.5;
  private static final int MAX_IN_FLIGHT = 1_024;

  /** Pause after which a silent connection is probed. */
  private static final long PROBE_MILLIS = 700;

  /** Silence after which a connection counts as broken, although nobody has closed it. */
  private static final long SILENCE_MILLIS = 2_100;

  /** Age from which a link that is not connected may be replaced, in milliseconds. */
  private static final long MIN_REPLACED_MILLIS = 100;

  private final PeerAddress peer;
  private final long createdNanos = System.nanoTime();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final Disposable connecting;
  private volatile Channel channel;
  private volatile long heardNanos;

  PeerLink(
      PeerAddress peer, PeerSecurity security, Retry retry, BiConsumer<Channel, byte[]> receiver) {
    this.peer = peer;
    TcpClient client =
        TcpClient.newConnection()
            .host(peer.host())
            .port(peer.port())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .doOnChannelInit(
                (observer, opened, remote) ->
                    PeerTransport.installFraming(
                        opened, new PeerTransport.FrameReader(heardBy(receiver), security)));
    // The element that a new connection emits makes the retry operator start its back-off afresh.
    Flux<Channel> session =
        Mono.defer(() -> security.secure(client).connect())
            .flatMapMany(this::serve)
            .concatWith(Mono.error(new ConnectionEndedException()));
    this.connecting = session.retryWhen(retry).subscribe(opened -> {}, error -> {});
  }

  /** Returns when a connection that ended, or could not be opened, is opened again. */
  static Retry reopening() {
    return Retry.backoff(Long.MAX_VALUE, FIRST_BACKOFF)
        .maxBackoff(MAX_BACKOFF)
        .jitter(BACKOFF_JITTER)
        .transientErrors(true);
  }

  PeerAddress peer() {
    return peer;
  }

  /**
   * Returns whether the link has been without a connection for a while, so that a new link may be
   * connected sooner than its next attempt.
   */
  boolean isReplaceable() {
    long age = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - createdNanos);
    return !isConnected() && age >= MIN_REPLACED_MILLIS;
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
    heardNanos = System.nanoTime();
    Future<?> probes =
        channel
            .eventLoop()
            .scheduleAtFixedRate(
                () -> probe(connection.channel()),
                PROBE_MILLIS,
                PROBE_MILLIS,
                TimeUnit.MILLISECONDS);
    channel.closeFuture().addListener(closed -> probes.cancel(false));
    // Reads start with a subscriber; the frames themselves end at the handler before it.
    Mono<Channel> reading = connection.inbound().receive().then(Mono.empty());
    return Flux.concat(Mono.just(channel), reading, connection.onDispose().then(Mono.empty()));
  }

  /** Empty frames are answers to probes; they say only that the connection works. */
  private BiConsumer<Channel, byte[]> heardBy(BiConsumer<Channel, byte[]> receiver) {
    return (from, frame) -> {
      heardNanos = System.nanoTime();
      if (frame.length > 0) {
        receiver.accept(from, frame);
      }
    };
  }

  private void probe(Channel probed) {
    long silence = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - heardNanos);
    if (silence >= SILENCE_MILLIS) {
      probed.close();
    } else if (silence >= PROBE_MILLIS / 2) {
      probed.writeAndFlush(Unpooled.EMPTY_BUFFER);
    }
  }

  /** Makes the retry operator open the connection again. */
  private static final class ConnectionEndedException extends Exception {
    private static final long serialVersionUID = 1L;

    ConnectionEndedException() {
      super("connection ended", null, false, false);
    }
  }
}
