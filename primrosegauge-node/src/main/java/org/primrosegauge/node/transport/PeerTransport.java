package org.primrosegauge.node.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.primrosegauge.core.ErrorKind;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.wire.Frame;
import org.primrosegauge.wire.FrameCodec;
import org.primrosegauge.wire.WireException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
import reactor.netty.tcp.TcpServer;
import reactor.util.retry.Retry;

/**
 * Messages between instances: TCP, a 4-byte length, one MessagePack document a frame.
 *
 * <p>{@link #tell} is one-way and may lose messages: the state machines above it send again. {@link
 * #ask} waits for one reply. Each peer has one outgoing connection with a bounded number of frames
 * in flight; a frame beyond that is dropped and counted. All methods may be called from any thread;
 * handlers run on event loops and must hand over to a duty.
 *
 * <p>Life-cycle: register handlers, {@link #start}, {@link #connect} for each peer, {@link #close}.
 *
 * @since 0.1
 */
public final class PeerTransport implements AutoCloseable {

  /** Room in a frame for what surrounds the largest entry of the log, in bytes. */
  private static final int ENVELOPE_BYTES = 64 * 1024;

  /**
   * Largest frame, in bytes; a longer one is not written, and closes the connection before memory
   * is allocated if it arrives. An entry of the log of any size that is accepted fits.
   */
  public static final int MAX_FRAME_BYTES = LogEntry.MAX_COMMAND_BYTES + ENVELOPE_BYTES;

  static final int LENGTH_BYTES = 4;

  private static final Logger LOG = LoggerFactory.getLogger(PeerTransport.class);

  /** Events of the transport that are counted. */
  public enum TransportEvent {
    /** A frame could not be read. */
    UNREADABLE_FRAME,
    /** A frame was dropped because the peer cannot be reached. */
    PEER_UNREACHABLE,
    /** A frame was dropped because too many are in flight. */
    TOO_MANY_IN_FLIGHT,
    /** A message was not written because its frame would be too large. */
    FRAME_TOO_LARGE,
    /** A message arrived that no part of the instance handles. */
    NO_HANDLER,
    /** A reply arrived after its question was given up. */
    LATE_REPLY,
    /** A frame names an instance that the connection does not belong to. */
    FOREIGN_SENDER
  }

  private final InstanceId self;
  private final FrameCodec codec;
  private final NodeMetrics metrics;
  private final PeerSecurity security;
  private final Retry retry;
  private final Map<InstanceId, PeerLink> links = new ConcurrentHashMap<>();
  private final Map<Class<?>, BiConsumer<InstanceId, Object>> tellHandlers =
      new ConcurrentHashMap<>();
  private final Map<Class<?>, BiFunction<InstanceId, Object, Mono<?>>> askHandlers =
      new ConcurrentHashMap<>();
  private final Map<Long, MonoSink<Object>> waiting = new ConcurrentHashMap<>();
  private final AtomicLong correlations = new AtomicLong();
  private final ChannelGroup accepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicLong bytesSent = new AtomicLong();
  private final AtomicLong bytesReceived = new AtomicLong();
  private volatile Function<InstanceId, Optional<PeerAddress>> resolver = peer -> Optional.empty();
  private DisposableServer server;

  /**
   * Creates a transport that is not connected yet.
   *
   * @param self id of this instance
   * @param codec codec that knows all message types in use
   * @param metrics counters
   * @param security encryption and the check of peers' identities
   * @since 0.1
   */
  public PeerTransport(
      InstanceId self, FrameCodec codec, NodeMetrics metrics, PeerSecurity security) {
    this(self, codec, metrics, security, PeerLink.reopening());
  }

  PeerTransport(
      InstanceId self, FrameCodec codec, NodeMetrics metrics, PeerSecurity security, Retry retry) {
    this.retry = retry;
    this.self = self;
    this.codec = codec;
    this.metrics = metrics;
    this.security = security;
  }

  // Settings

  /**
   * Sets the receiver of one-way messages of a family.
   *
   * @param family interface that the messages implement
   * @since 0.1
   */
  public <M> void onTell(Class<M> family, BiConsumer<InstanceId, M> handler) {
    tellHandlers.put(family, (from, body) -> handler.accept(from, family.cast(body)));
  }

  /**
   * Sets the function that answers questions of a family.
   *
   * @param family interface that the questions implement
   * @since 0.1
   */
  public <M> void onAsk(Class<M> family, BiFunction<InstanceId, M, Mono<?>> handler) {
    askHandlers.put(family, (from, body) -> handler.apply(from, family.cast(body)));
  }

  /**
   * Sets how the address of a peer is found that nobody has connected yet. Without it, only peers
   * given to {@link #connect} are reached.
   *
   * @since 0.2
   */
  public void resolver(Function<InstanceId, Optional<PeerAddress>> addresses) {
    resolver = addresses;
  }

  // Life-cycle

  /**
   * Binds the port for peers.
   *
   * @since 0.1
   */
  public void start(String host, int port) {
    metrics.gauge("primrosegauge.transport.sent.bytes", this::bytesSent);
    metrics.gauge("primrosegauge.transport.received.bytes", this::bytesReceived);
    TcpServer tcp =
        TcpServer.create()
            .host(host)
            .port(port)
            .doOnChannelInit((observer, channel, remote) -> install(channel, security))
            // Reads start with a subscriber; the frames themselves end at the handler before it.
            .handle((in, out) -> in.receive().then());
    server = security.secure(tcp).bindNow();
  }

  /**
   * Keeps a connection to a peer from now on. A second call for the same peer replaces its address.
   *
   * @since 0.1
   */
  public void connect(PeerAddress peer) {
    if (peer.instance().equals(self)) {
      return;
    }
    PeerLink previous = links.put(peer.instance(), openLink(peer));
    if (previous != null) {
      previous.close();
    }
  }

  /**
   * Keeps no connection to a peer any more.
   *
   * @since 0.2
   */
  public void disconnect(InstanceId peer) {
    PeerLink link = links.remove(peer);
    if (link != null) {
      link.close();
    }
  }

  @Override
  public void close() {
    links.values().forEach(PeerLink::close);
    if (server != null) {
      server.disposeNow();
    }
    accepted.close();
  }

  // Accessors

  /**
   * Returns the port in use.
   *
   * @since 0.1
   */
  public int port() {
    return server.port();
  }

  /**
   * Tells whether the connection to a peer stands.
   *
   * @since 0.1
   */
  public boolean isConnected(InstanceId peer) {
    PeerLink link = links.get(peer);
    return link != null && link.isConnected();
  }

  /**
   * Returns the bytes written to peers so far, without TCP and TLS overhead.
   *
   * @since 0.1
   */
  public long bytesSent() {
    return bytesSent.get();
  }

  /**
   * Returns the bytes read from peers so far, without TCP and TLS overhead.
   *
   * @since 0.1
   */
  public long bytesReceived() {
    return bytesReceived.get();
  }

  // Main API

  /**
   * Sends a one-way message. It is dropped and counted when the peer cannot be reached now.
   *
   * @since 0.1
   */
  public void tell(InstanceId to, Object message) {
    if (to.equals(self)) {
      dispatch(Frame.tell(self, message), null);
      return;
    }
    write(to, Frame.tell(self, message));
  }

  /**
   * Sends a message and waits for the reply.
   *
   * @param replyType type of the reply
   * @param timeout longest wait
   * @return the reply; an error of kind UNAVAILABLE when the message was not sent, of kind
   *     OVER_LIMIT when it never can be because its frame would be too large, and of kind
   *     OUTCOME_UNKNOWN when no reply came in time
   * @since 0.1
   */
  public <R> Mono<R> ask(InstanceId to, Object message, Class<R> replyType, Duration timeout) {
    if (to.equals(self)) {
      return answer(self, message).cast(replyType);
    }
    return Mono.defer(
        () -> {
          long correlation = correlations.incrementAndGet();
          return Mono.<Object>create(
                  sink -> {
                    waiting.put(correlation, sink);
                    switch (write(to, new Frame(self, Frame.Purpose.ASK, correlation, message))) {
                      case NOT_SENT -> sink.error(unreachable(to));
                      case TOO_LARGE -> sink.error(tooLarge());
                      default -> {}
                    }
                  })
              .timeout(timeout, Mono.error(() -> unanswered(to)))
              .doFinally(signal -> waiting.remove(correlation))
              .cast(replyType);
        });
  }

  // Internals

  /** What became of a frame that was to be written. */
  private enum WriteResult {
    WRITTEN,
    NOT_SENT,
    TOO_LARGE
  }

  private WriteResult write(InstanceId to, Frame frame) {
    PeerLink link = linkTo(to);
    if (link == null || !link.isConnected()) {
      metrics.count("primrosegauge.transport", "peer", TransportEvent.PEER_UNREACHABLE);
      return WriteResult.NOT_SENT;
    }
    byte[] bytes = codec.encode(frame);
    if (isTooLarge(bytes)) {
      return WriteResult.TOO_LARGE;
    }
    if (!link.write(bytes)) {
      metrics.count("primrosegauge.transport", "peer", TransportEvent.TOO_MANY_IN_FLIGHT);
      return WriteResult.NOT_SENT;
    }
    bytesSent.addAndGet(bytes.length + LENGTH_BYTES);
    return WriteResult.WRITTEN;
  }

  /** Returns whether a frame is too large for the peer to read, and counts it if so. */
  private boolean isTooLarge(byte[] frame) {
    boolean isTooLarge = frame.length + LENGTH_BYTES > MAX_FRAME_BYTES;
    if (isTooLarge) {
      metrics.count("primrosegauge.transport", "peer", TransportEvent.FRAME_TOO_LARGE);
      LOG.warn("message of {} bytes is not sent, a frame has {}", frame.length, MAX_FRAME_BYTES);
    }
    return isTooLarge;
  }

  private PeerLink linkTo(InstanceId peer) {
    PeerLink known = links.get(peer);
    if (known != null) {
      return known;
    }
    resolver.apply(peer).ifPresent(this::connect);
    return links.get(peer);
  }

  private PeerLink openLink(PeerAddress peer) {
    return new PeerLink(peer, security, retry, this::receive);
  }

  /** A peer that sends something can be reached, so the connection to it is opened at once. */
  private void reconnectIfDown(InstanceId peer) {
    links.computeIfPresent(
        peer,
        (same, link) -> {
          if (!link.isReplaceable()) {
            return link;
          }
          link.close();
          return openLink(link.peer());
        });
  }

  private void install(Channel channel, PeerSecurity peerSecurity) {
    accepted.add(channel);
    installFraming(channel, new FrameReader(this::receive, peerSecurity));
  }

  /** Reactor Netty's own handler consumes what reaches it, so these handlers go before it. */
  static void installFraming(Channel channel, FrameReader reader) {
    addBeforeBridge(
        channel,
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
    addBeforeBridge(channel, new LengthFieldPrepender(LENGTH_BYTES));
    addBeforeBridge(channel, reader);
  }

  private static void addBeforeBridge(Channel channel, ChannelHandler handler) {
    channel.pipeline().addBefore(NettyPipeline.ReactiveBridge, null, handler);
  }

  private void receive(Channel channel, byte[] bytes) {
    if (bytes.length == 0) {
      // A probe: it is answered in kind, which tells the peer that the connection still works.
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER);
      return;
    }
    bytesReceived.addAndGet(bytes.length + LENGTH_BYTES);
    try {
      Frame frame = codec.decode(bytes);
      if (!security.isSender(channel, frame.from())) {
        metrics.count("primrosegauge.transport", "peer", TransportEvent.FOREIGN_SENDER);
        channel.close();
        return;
      }
      reconnectIfDown(frame.from());
      dispatch(frame, channel);
    } catch (WireException e) {
      metrics.count("primrosegauge.transport", "peer", TransportEvent.UNREADABLE_FRAME);
      LOG.warn("closing the connection from {}: {}", channel.remoteAddress(), e.getMessage());
      channel.close();
    }
  }

  private void dispatch(Frame frame, Channel channel) {
    switch (frame.purpose()) {
      case TELL -> deliver(frame);
      case ASK -> reply(frame, channel);
      case REPLY -> complete(frame);
      default -> throw new IllegalStateException("unknown purpose " + frame.purpose());
    }
  }

  private void deliver(Frame frame) {
    BiConsumer<InstanceId, Object> handler = handlerFor(tellHandlers, frame.body());
    if (handler == null) {
      metrics.count("primrosegauge.transport", "peer", TransportEvent.NO_HANDLER);
      return;
    }
    handler.accept(frame.from(), frame.body());
  }

  private void reply(Frame frame, Channel channel) {
    answer(frame.from(), frame.body())
        .subscribe(
            body -> {
              byte[] bytes =
                  codec.encode(new Frame(self, Frame.Purpose.REPLY, frame.correlation(), body));
              if (isTooLarge(bytes)) {
                return;
              }
              bytesSent.addAndGet(bytes.length + LENGTH_BYTES);
              channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
            },
            error -> LOG.debug("question from {} stays unanswered", frame.from(), error));
  }

  private Mono<?> answer(InstanceId from, Object question) {
    BiFunction<InstanceId, Object, Mono<?>> handler = handlerFor(askHandlers, question);
    if (handler == null) {
      metrics.count("primrosegauge.transport", "peer", TransportEvent.NO_HANDLER);
      return Mono.error(unreachable(from));
    }
    return handler.apply(from, question);
  }

  private void complete(Frame frame) {
    MonoSink<Object> sink = waiting.remove(frame.correlation());
    if (sink == null) {
      metrics.count("primrosegauge.transport", "peer", TransportEvent.LATE_REPLY);
      return;
    }
    sink.success(frame.body());
  }

  private static <H> H handlerFor(Map<Class<?>, H> handlers, Object body) {
    for (Map.Entry<Class<?>, H> entry : handlers.entrySet()) {
      if (entry.getKey().isInstance(body)) {
        return entry.getValue();
      }
    }
    return null;
  }

  private static PrimrosegaugeException unanswered(InstanceId peer) {
    return new PrimrosegaugeException(
        ErrorKind.OUTCOME_UNKNOWN,
        "instance " + peer + " did not answer in time",
        "ask for the outcome, or send the same request again",
        "");
  }

  private static PrimrosegaugeException tooLarge() {
    return new PrimrosegaugeException(
        ErrorKind.OVER_LIMIT,
        "the message is larger than a frame between instances",
        "send a smaller request",
        "");
  }

  private static PrimrosegaugeException unreachable(InstanceId peer) {
    return new PrimrosegaugeException(
        ErrorKind.UNAVAILABLE,
        "instance " + peer + " cannot be reached",
        "come back in a second, or check the network between the instances",
        "");
  }

  /** Passes whole frames on. One per connection. */
  static final class FrameReader extends SimpleChannelInboundHandler<ByteBuf> {

    private final BiConsumer<Channel, byte[]> receiver;
    private final PeerSecurity security;

    FrameReader(BiConsumer<Channel, byte[]> receiver, PeerSecurity security) {
      this.receiver = receiver;
      this.security = security;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      byte[] bytes = new byte[frame.readableBytes()];
      frame.readBytes(bytes);
      receiver.accept(context.channel(), bytes);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.debug("connection {} ends (secured: {})", context.channel(), security, cause);
      context.close();
    }
  }
}
