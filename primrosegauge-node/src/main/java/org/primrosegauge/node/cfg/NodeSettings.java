package org.primrosegauge.node.cfg;

import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * All settings of one instance. Immutable.
 *
 * @param instance who this instance is
 * @param http server for callers, operators and targets
 * @param peer server for the other instances
 * @param peers the other instances of the site, without this one
 * @param timeouts time-outs
 * @param limits limits
 * @param tls encryption
 * @param tokensFile file with the digests of the tokens; empty lets everybody do everything
 * @param logLevel least important log lines that are written
 * @since 0.1
 */
public record NodeSettings(
    InstanceSettings instance,
    EndpointSettings http,
    EndpointSettings peer,
    List<PeerSettings> peers,
    TimeoutSettings timeouts,
    LimitSettings limits,
    TlsSettings tls,
    Optional<Path> tokensFile,
    LogLevel logLevel) {

  /** Copies the list. */
  public NodeSettings {
    peers = List.copyOf(peers);
  }

  /**
   * Returns a builder with the documented defaults, TLS on without files and no peers.
   *
   * @since 0.1
   */
  public static Builder builder(
      InstanceSettings instance, EndpointSettings http, EndpointSettings peer) {
    return new Builder(instance, http, peer);
  }

  /** Collects settings. One use by one thread. */
  public static final class Builder {
    private final InstanceSettings instance;
    private final EndpointSettings http;
    private final EndpointSettings peer;
    private List<PeerSettings> peers = List.of();
    private TimeoutSettings timeouts = TimeoutSettings.DEFAULT;
    private LimitSettings limits = LimitSettings.DEFAULT;
    private TlsSettings tls =
        new TlsSettings(true, Optional.empty(), Optional.empty(), Optional.empty());
    private Optional<Path> tokensFile = Optional.empty();
    private LogLevel logLevel = LogLevel.INFO;

    private Builder(InstanceSettings instance, EndpointSettings http, EndpointSettings peer) {
      this.instance = Objects.requireNonNull(instance);
      this.http = Objects.requireNonNull(http);
      this.peer = Objects.requireNonNull(peer);
    }

    /**
     * Sets the other instances.
     *
     * @since 0.1
     */
    public Builder peers(List<PeerSettings> newPeers) {
      peers = newPeers;
      return this;
    }

    /**
     * Sets the time-outs.
     *
     * @since 0.1
     */
    public Builder timeouts(TimeoutSettings newTimeouts) {
      timeouts = newTimeouts;
      return this;
    }

    /**
     * Sets the limits.
     *
     * @since 0.1
     */
    public Builder limits(LimitSettings newLimits) {
      limits = newLimits;
      return this;
    }

    /**
     * Sets the encryption.
     *
     * @since 0.1
     */
    public Builder tls(TlsSettings newTls) {
      tls = newTls;
      return this;
    }

    /**
     * Sets the file with the digests of the tokens.
     *
     * @since 0.1
     */
    public Builder tokensFile(Optional<Path> newTokensFile) {
      tokensFile = newTokensFile;
      return this;
    }

    /**
     * Sets the least important log lines that are written.
     *
     * @since 0.1
     */
    public Builder logLevel(LogLevel newLogLevel) {
      logLevel = newLogLevel;
      return this;
    }

    /**
     * Returns the settings.
     *
     * @since 0.1
     */
    public NodeSettings build() {
      return new NodeSettings(
          instance, http, peer, peers, timeouts, limits, tls, tokensFile, logLevel);
    }
  }
}
