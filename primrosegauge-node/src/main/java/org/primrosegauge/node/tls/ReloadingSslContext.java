package org.primrosegauge.node.tls;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.ApplicationProtocolNegotiator;
import io.netty.handler.ssl.SslContext;
import java.util.List;
import java.util.function.Supplier;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLSessionContext;

/**
 * Makes each engine with the context in use at that moment, so that new connections have the new
 * certificate while a server goes on listening. Connections that stand keep theirs.
 *
 * <p>Thread-safe when the supplier is.
 */
final class ReloadingSslContext extends SslContext {

  private final Supplier<SslContext> current;

  ReloadingSslContext(Supplier<SslContext> current) {
    this.current = current;
  }

  @Override
  public boolean isClient() {
    return current.get().isClient();
  }

  @Override
  public List<String> cipherSuites() {
    return current.get().cipherSuites();
  }

  @Override
  @SuppressWarnings("deprecation")
  public ApplicationProtocolNegotiator applicationProtocolNegotiator() {
    return current.get().applicationProtocolNegotiator();
  }

  @Override
  public SSLEngine newEngine(ByteBufAllocator allocator) {
    return current.get().newEngine(allocator);
  }

  @Override
  public SSLEngine newEngine(ByteBufAllocator allocator, String peerHost, int peerPort) {
    return current.get().newEngine(allocator, peerHost, peerPort);
  }

  @Override
  public SSLSessionContext sessionContext() {
    return current.get().sessionContext();
  }
}
