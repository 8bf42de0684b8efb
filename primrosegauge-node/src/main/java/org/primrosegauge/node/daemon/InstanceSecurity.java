package org.primrosegauge.node.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.security.Authenticator;
import org.primrosegauge.core.security.TokenTable;
import org.primrosegauge.node.cfg.NodeSettings;
import org.primrosegauge.node.cfg.PeerSettings;
import org.primrosegauge.node.reload.FileReloader;
import org.primrosegauge.node.reload.ReloadingFiles;
import org.primrosegauge.node.security.TokensFile;
import org.primrosegauge.node.tls.PeerTls;
import org.primrosegauge.node.tls.TlsContexts;
import org.primrosegauge.node.transport.PeerSecurity;
import reactor.netty.http.server.HttpServer;

/**
 * TLS and tokens of one instance, read again when their files change.
 *
 * <p>Thread-safe. Life-cycle: {@link #open}, use, {@link #close}.
 */
final class InstanceSecurity implements AutoCloseable {

  private final Optional<TlsContexts> tls;
  private final PeerSecurity peers;
  private final Authenticator authenticator;
  private final FileReloader reloader;

  private InstanceSecurity(
      Optional<TlsContexts> tls,
      PeerSecurity peers,
      Authenticator authenticator,
      FileReloader reloader) {
    this.tls = tls;
    this.peers = peers;
    this.authenticator = authenticator;
    this.reloader = reloader;
  }

  /**
   * Reads the files that the settings name.
   *
   * @throws PrimrosegaugeException when a file cannot be read or used
   */
  static InstanceSecurity open(NodeSettings settings) throws PrimrosegaugeException {
    List<ReloadingFiles<?>> files = new ArrayList<>();
    Optional<TlsContexts> tls = Optional.empty();
    PeerSecurity peers = PeerSecurity.NONE;
    if (settings.tls().enabled()) {
      TlsContexts contexts = TlsContexts.open(settings.tls());
      Set<InstanceId> ids =
          settings.peers().stream().map(PeerSettings::id).collect(Collectors.toUnmodifiableSet());
      files.add(contexts.files());
      tls = Optional.of(contexts);
      peers = new PeerTls(contexts, () -> ids);
    }
    Authenticator authenticator = Authenticator.NONE;
    if (settings.tokensFile().isPresent()) {
      ReloadingFiles<TokenTable> tokens = TokensFile.open(settings.tokensFile().get());
      files.add(tokens);
      authenticator = TokensFile.authenticator(tokens);
    }
    return new InstanceSecurity(tls, peers, authenticator, FileReloader.start(files));
  }

  PeerSecurity peers() {
    return peers;
  }

  Authenticator authenticator() {
    return authenticator;
  }

  HttpServer secure(HttpServer server) {
    return tls.map(contexts -> contexts.secure(server)).orElse(server);
  }

  /** Returns the scheme of the addresses that this instance advertises. */
  String scheme() {
    return tls.isPresent() ? "https" : "http";
  }

  @Override
  public void close() {
    reloader.close();
  }
}
