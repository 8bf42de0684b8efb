package org.primrosegauge.node.tls;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.nio.file.Path;
import java.util.List;
import javax.net.ssl.SSLException;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.node.cfg.TlsSettings;
import org.primrosegauge.node.reload.ReloadingFiles;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * TLS of one instance. Callers, operators and targets check the instance's certificate and prove
 * themselves by token; instances check each other's certificates.
 *
 * <p>Thread-safe. Life-cycle: {@link #open}, give {@link #files} to a reloader, use.
 *
 * @since 0.1
 */
public final class TlsContexts {

  private static final List<String> PROTOCOLS = List.of("TLSv1.3", "TLSv1.2");

  private final ReloadingFiles<Material> files;

  private TlsContexts(ReloadingFiles<Material> files) {
    this.files = files;
  }

  /** Contexts made of one state of the files. */
  private record Material(SslContext http, SslContext peerServer, SslContext client) {}

  /**
   * Reads the files.
   *
   * @param settings settings with TLS on
   * @throws PrimrosegaugeException when a file cannot be read or used
   * @since 0.1
   */
  public static TlsContexts open(TlsSettings settings) throws PrimrosegaugeException {
    Path certificate = settings.certificate().orElseThrow();
    Path key = settings.key().orElseThrow();
    Path trust = settings.trust().orElseThrow();
    return new TlsContexts(
        ReloadingFiles.open(
            List.of(certificate, key, trust), () -> parse(certificate, key, trust)));
  }

  /**
   * Returns the files, for a reloader.
   *
   * @since 0.1
   */
  public ReloadingFiles<?> files() {
    return files;
  }

  /**
   * Adds TLS to the server for callers, operators and targets.
   *
   * @since 0.1
   */
  public HttpServer secure(HttpServer server) {
    SslContext context = new ReloadingSslContext(() -> files.current().http());
    return server.secure(spec -> spec.sslContext(context));
  }

  /**
   * Adds TLS to a client that calls targets.
   *
   * @since 0.1
   */
  public HttpClient secure(HttpClient client) {
    SslContext context = new ReloadingSslContext(() -> files.current().client());
    return client.secure(spec -> spec.sslContext(context));
  }

  TcpServer secure(TcpServer server) {
    SslContext context = new ReloadingSslContext(() -> files.current().peerServer());
    return server.secure(spec -> spec.sslContext(context));
  }

  TcpClient secure(TcpClient client) {
    SslContext context = new ReloadingSslContext(() -> files.current().client());
    return client.secure(spec -> spec.sslContext(context));
  }

  private static Material parse(Path certificate, Path key, Path trust)
      throws InvalidInputException {
    try {
      SslContextBuilder http = SslContextBuilder.forServer(certificate.toFile(), key.toFile());
      SslContextBuilder peerServer =
          SslContextBuilder.forServer(certificate.toFile(), key.toFile())
              .trustManager(trust.toFile())
              .clientAuth(ClientAuth.REQUIRE);
      // Peers and targets are reached by IP number; who they are is checked by their id or token.
      SslContextBuilder client =
          SslContextBuilder.forClient()
              .keyManager(certificate.toFile(), key.toFile())
              .trustManager(trust.toFile())
              .endpointIdentificationAlgorithm(null);
      return new Material(build(http), build(peerServer), build(client));
    } catch (SSLException | IllegalArgumentException e) {
      throw new InvalidInputException(
          "certificate, key and trust cannot be used together: " + reason(e),
          "give PEM files, the key as PKCS 8 without a password and matching the certificate",
          certificate + ", " + key + ", " + trust,
          e);
    }
  }

  private static SslContext build(SslContextBuilder builder) throws SSLException {
    return builder.sslProvider(SslProvider.JDK).protocols(PROTOCOLS).build();
  }

  /** Names the first line only; it holds no key material. */
  private static String reason(Exception error) {
    return String.valueOf(error.getMessage()).lines().findFirst().orElse("unreadable");
  }
}
