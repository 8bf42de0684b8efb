package org.primrosegauge.node.tls;

import io.netty.channel.Channel;
import io.netty.handler.ssl.SslHandler;
import java.security.cert.Certificate;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import javax.net.ssl.SSLPeerUnverifiedException;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.node.transport.PeerSecurity;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Mutual TLS between instances. A connection belongs to an instance when the certificate of its
 * other end has the instance's id as a DNS name among its subject alternative names, and the id is
 * in the list of peers.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class PeerTls implements PeerSecurity {

  /** Type of a DNS name among the subject alternative names, RFC 5280 section 4.2.1.6. */
  private static final int DNS_NAME = 2;

  private final TlsContexts contexts;
  private final Supplier<Set<InstanceId>> peers;

  /**
   * Creates the security of one instance.
   *
   * @param contexts certificates
   * @param peers ids of the instances that may connect
   * @since 0.1
   */
  public PeerTls(TlsContexts contexts, Supplier<Set<InstanceId>> peers) {
    this.contexts = contexts;
    this.peers = peers;
  }

  @Override
  public TcpServer secure(TcpServer server) {
    return contexts.secure(server);
  }

  @Override
  public TcpClient secure(TcpClient client) {
    return contexts.secure(client);
  }

  @Override
  public boolean isSender(Channel channel, InstanceId sender) {
    SslHandler handler = channel.pipeline().get(SslHandler.class);
    return handler != null
        && peers.get().contains(sender)
        && certificateOf(handler).filter(certificate -> names(certificate, sender)).isPresent();
  }

  private static Optional<X509Certificate> certificateOf(SslHandler handler) {
    try {
      Certificate[] chain = handler.engine().getSession().getPeerCertificates();
      return chain[0] instanceof X509Certificate certificate
          ? Optional.of(certificate)
          : Optional.empty();
    } catch (SSLPeerUnverifiedException e) {
      return Optional.empty();
    }
  }

  private static boolean names(X509Certificate certificate, InstanceId instance) {
    try {
      Collection<List<?>> names = certificate.getSubjectAlternativeNames();
      return names != null
          && names.stream()
              .anyMatch(
                  name -> name.get(0).equals(DNS_NAME) && instance.value().equals(name.get(1)));
    } catch (CertificateParsingException e) {
      return false;
    }
  }
}
