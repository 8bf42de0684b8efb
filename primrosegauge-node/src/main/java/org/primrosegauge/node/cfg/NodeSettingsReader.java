package org.primrosegauge.node.cfg;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.InvalidInputException;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.RegionId;
import org.primrosegauge.core.settings.SettingFault;
import org.primrosegauge.core.settings.SettingKey;
import org.primrosegauge.core.settings.SettingsException;
import org.primrosegauge.wire.toml.TomlFile;
import org.primrosegauge.wire.toml.TomlSection;

/**
 * Reads the settings of one instance from TOML and names all faults of the file at once.
 *
 * <p>One use by one thread; the static methods make their own.
 *
 * @since 0.1
 */
public final class NodeSettingsReader {

  /** Most voters of a site. */
  public static final int MAX_VOTERS = 7;

  /** Heartbeats that have to fit into one lease, so that a lost one does not end it. */
  private static final int HEARTBEATS_PER_LEASE = 3;

  /** Stands in for a faulty required value until the faults are thrown. */
  private static final String FAULTY_ID = "faulty";

  private static final HostPort FAULTY_ADDRESS = new HostPort("faulty", 1);

  private final TomlFile file;
  private final Path base;

  private NodeSettingsReader(TomlFile file, Path base) {
    this.file = file;
    this.base = base;
  }

  /**
   * Reads a file.
   *
   * @throws SettingsException with every fault that was found
   * @throws InvalidInputException when the file cannot be read
   * @since 0.1
   */
  public static NodeSettings read(Path path) throws PrimrosegaugeException {
    String text;
    try {
      text = Files.readString(path);
    } catch (IOException e) {
      throw new InvalidInputException(
          "cannot read the settings file",
          "name a readable file of UTF-8 text",
          path.toString(),
          e);
    }
    return read(path.toString(), text, path.toAbsolutePath().getParent());
  }

  /**
   * Reads a text.
   *
   * @param name name of the file, for the faults
   * @param text TOML
   * @param base folder that relative paths start from
   * @throws SettingsException with every fault that was found
   * @since 0.1
   */
  public static NodeSettings read(String name, String text, Path base) throws SettingsException {
    return new NodeSettingsReader(TomlFile.parse(name, text, NodeKeys.ALL), base).read();
  }

  private NodeSettings read() throws SettingsException {
    InstanceSettings instance = instance(file.section("instance"));
    EndpointSettings http =
        endpoint(file.section("http"), NodeKeys.HTTP_LISTEN, NodeKeys.HTTP_ADVERTISED);
    EndpointSettings peer =
        endpoint(file.section("peer"), NodeKeys.PEER_LISTEN, NodeKeys.PEER_ADVERTISED);
    checkAddresses(http, peer);
    NodeSettings settings =
        NodeSettings.builder(instance, http, peer)
            .peers(peers(instance, peer))
            .timeouts(timeouts(file.section("timeouts")))
            .limits(limits(file.section("limits")))
            .tls(tls(file.section("tls")))
            .tokensFile(file.section("tokens").path(NodeKeys.TOKENS_FILE, base))
            .logLevel(logLevel(file.section("log")))
            .build();
    file.finish();
    return settings;
  }

  private InstanceSettings instance(TomlSection section) {
    boolean voter = section.flag(NodeKeys.VOTER);
    Optional<Path> dataFolder = section.path(NodeKeys.DATA_FOLDER, base);
    if (voter && !section.has(NodeKeys.DATA_FOLDER)) {
      section.report(
          NodeKeys.VOTER,
          SettingFault.Kind.CLASH,
          "a voter without a data folder",
          "add data-folder, or set voter = false");
    }
    return new InstanceSettings(
        new InstanceId(id(section, NodeKeys.ID)),
        new RegionId(id(section, NodeKeys.REGION)),
        new FailureDomainId(id(section, NodeKeys.DOMAIN)),
        voter,
        dataFolder);
  }

  private static String id(TomlSection section, SettingKey key) {
    return section.id(key).orElse(FAULTY_ID);
  }

  private static EndpointSettings endpoint(
      TomlSection section, SettingKey listenKey, SettingKey advertisedKey) {
    HostPort listen = section.address(listenKey).orElse(FAULTY_ADDRESS);
    return new EndpointSettings(listen, section.address(advertisedKey).orElse(listen));
  }

  private void checkAddresses(EndpointSettings http, EndpointSettings peer) {
    if (http.listen().equals(peer.listen()) && !http.listen().equals(FAULTY_ADDRESS)) {
      file.section("peer")
          .report(
              NodeKeys.PEER_LISTEN,
              SettingFault.Kind.CLASH,
              "the same address as http.listen",
              "give the two servers different ports");
    }
  }

  private List<PeerSettings> peers(InstanceSettings instance, EndpointSettings own) {
    List<PeerSettings> peers = new ArrayList<>();
    Set<InstanceId> ids = new HashSet<>();
    Set<HostPort> addresses = new HashSet<>(Set.of(own.advertised()));
    int voters = instance.voter() ? 1 : 0;
    for (TomlSection section : file.entries("peers")) {
      PeerSettings peer = peer(section);
      checkUniqueId(section, peer, ids);
      if (peer.id().equals(instance.id())) {
        checkSelf(section, peer, instance, own);
        continue;
      }
      checkUniqueAddress(section, peer, addresses);
      voters += peer.voter() ? 1 : 0;
      checkVoters(section, voters);
      peers.add(peer);
    }
    return peers;
  }

  private static PeerSettings peer(TomlSection section) {
    return new PeerSettings(
        new InstanceId(id(section, NodeKeys.PEERS_ID)),
        new FailureDomainId(id(section, NodeKeys.PEERS_DOMAIN)),
        section.address(NodeKeys.PEERS_ADDRESS).orElse(FAULTY_ADDRESS),
        section.flag(NodeKeys.PEERS_VOTER));
  }

  private static void checkUniqueId(TomlSection section, PeerSettings peer, Set<InstanceId> ids) {
    if (!ids.add(peer.id()) && !peer.id().value().equals(FAULTY_ID)) {
      section.report(
          NodeKeys.PEERS_ID,
          SettingFault.Kind.DUPLICATE,
          "'" + peer.id() + "' stands twice",
          "remove or rename one of the two");
    }
  }

  private static void checkUniqueAddress(
      TomlSection section, PeerSettings peer, Set<HostPort> addresses) {
    if (!addresses.add(peer.address()) && !peer.address().equals(FAULTY_ADDRESS)) {
      section.report(
          NodeKeys.PEERS_ADDRESS,
          SettingFault.Kind.DUPLICATE,
          "another instance has the address " + peer.address(),
          "give each instance its own address");
    }
  }

  private static void checkSelf(
      TomlSection section, PeerSettings peer, InstanceSettings self, EndpointSettings own) {
    boolean agrees =
        peer.failureDomain().equals(self.failureDomain())
            && peer.voter() == self.voter()
            && peer.address().equals(own.advertised());
    if (!agrees) {
      section.report(
          NodeKeys.PEERS_ID,
          SettingFault.Kind.CLASH,
          "this instance is listed with another failure domain, address or vote",
          "make the entry agree with the tables instance and peer, or remove it");
    }
  }

  private static void checkVoters(TomlSection section, int voters) {
    if (voters == MAX_VOTERS + 1) {
      section.report(
          NodeKeys.PEERS_VOTER,
          SettingFault.Kind.CLASH,
          "more than " + MAX_VOTERS + " voters",
          "set voter = false for the others; 3 are enough for a small site");
    }
  }

  private static TimeoutSettings timeouts(TomlSection section) {
    TimeoutSettings timeouts =
        new TimeoutSettings(
            section.millis(NodeKeys.LEASE),
            section.millis(NodeKeys.HEARTBEAT),
            section.millis(NodeKeys.ELECTION),
            section.millis(NodeKeys.DRAIN),
            section.millis(NodeKeys.CONNECT));
    long shortest = HEARTBEATS_PER_LEASE * timeouts.heartbeatMillis();
    if (timeouts.leaseMillis() < shortest) {
      section.report(
          NodeKeys.LEASE,
          SettingFault.Kind.CLASH,
          "shorter than " + HEARTBEATS_PER_LEASE + " heartbeats",
          "use " + shortest + "ms or more, or shorten the heartbeat");
    }
    if (timeouts.electionMillis() < 2 * timeouts.heartbeatMillis()) {
      section.report(
          NodeKeys.ELECTION,
          SettingFault.Kind.CLASH,
          "shorter than 2 heartbeats",
          "use " + 2 * timeouts.heartbeatMillis() + "ms or more, or shorten the heartbeat");
    }
    return timeouts;
  }

  private static LimitSettings limits(TomlSection section) {
    return new LimitSettings(
        (int) section.number(NodeKeys.HTTP_CONNECTIONS),
        (int) section.number(NodeKeys.REQUESTS_IN_FLIGHT),
        (int) section.number(NodeKeys.JOBS_QUEUED),
        (int) section.bytes(NodeKeys.BODY),
        (int) section.bytes(NodeKeys.FRAME),
        (int) section.number(NodeKeys.RING),
        section.millis(NodeKeys.ANSWER_RETENTION));
  }

  private TlsSettings tls(TomlSection section) {
    boolean enabled = section.flag(NodeKeys.TLS_ENABLED);
    if (enabled) {
      requireFile(section, NodeKeys.TLS_CERTIFICATE);
      requireFile(section, NodeKeys.TLS_KEY);
      requireFile(section, NodeKeys.TLS_TRUST);
    }
    return new TlsSettings(
        enabled,
        section.path(NodeKeys.TLS_CERTIFICATE, base),
        section.path(NodeKeys.TLS_KEY, base),
        section.path(NodeKeys.TLS_TRUST, base));
  }

  private static void requireFile(TomlSection section, SettingKey key) {
    if (!section.has(key)) {
      section.report(
          key,
          SettingFault.Kind.MISSING,
          "TLS is on and this file is not given",
          "add tls." + key.name() + ", or set tls.enabled = false on a trusted machine");
    }
  }

  private static LogLevel logLevel(TomlSection section) {
    return LogLevel.valueOf(section.choice(NodeKeys.LOG_LEVEL).toUpperCase(Locale.ROOT));
  }
}
