package org.primrosegauge.node.cfg;

import static org.primrosegauge.core.settings.Quantities.BYTES_PER_KIB;
import static org.primrosegauge.core.settings.Quantities.BYTES_PER_MIB;
import static org.primrosegauge.core.settings.Quantities.MILLIS_PER_SECOND;

import java.util.List;
import org.primrosegauge.core.settings.SettingKey;
import org.primrosegauge.core.settings.SettingType;

/**
 * Keys of the settings of one instance.
 *
 * @since 0.1
 */
public final class NodeKeys {

  private static final long MAX_COUNT = 1_000_000;

  static final SettingKey ID =
      SettingKey.of("instance", "id", SettingType.ID, "id of this instance").withRequired();
  static final SettingKey REGION =
      SettingKey.of("instance", "region", SettingType.ID, "region of the failure domain")
          .withRequired();
  static final SettingKey DOMAIN =
      SettingKey.of("instance", "failure-domain", SettingType.ID, "failure domain that it serves")
          .withRequired();
  static final SettingKey VOTER =
      SettingKey.of(
              "instance",
              "voter",
              SettingType.FLAG,
              "whether it votes in the replicated log; needs data-folder")
          .withDefault("false");
  static final SettingKey DATA_FOLDER =
      SettingKey.of(
          "instance", "data-folder", SettingType.PATH, "folder for durable state; none by default");

  static final SettingKey HTTP_LISTEN =
      address("http", "listen", "address that the HTTP server binds").withRequired();
  static final SettingKey HTTP_ADVERTISED =
      address("http", "advertised", "address that others connect to; listen by default");
  static final SettingKey PEER_LISTEN =
      address("peer", "listen", "address that the server for other instances binds").withRequired();
  static final SettingKey PEER_ADVERTISED =
      address("peer", "advertised", "address that others connect to; listen by default");

  static final SettingKey PEERS_ID =
      SettingKey.of(
              "peers[]", "id", SettingType.ID, "id of an instance; this one may be listed too")
          .withRequired();
  static final SettingKey PEERS_DOMAIN =
      SettingKey.of("peers[]", "failure-domain", SettingType.ID, "failure domain that it serves")
          .withRequired();
  static final SettingKey PEERS_ADDRESS =
      address("peers[]", "address", "peer address that it advertises").withRequired();
  static final SettingKey PEERS_VOTER =
      SettingKey.of("peers[]", "voter", SettingType.FLAG, "whether it votes in the replicated log")
          .withDefault("false");

  static final SettingKey LEASE =
      timeout("lease", 500, 60, "life of a lease: the keeper's, a target's and a task's")
          .withDefault("2s");
  static final SettingKey HEARTBEAT =
      timeout("heartbeat", 50, 10, "pause between two heartbeats").withDefault("300ms");
  static final SettingKey ELECTION =
      timeout("election", 100, 60, "silence of the leader after which a voter stands for election")
          .withDefault("1s");
  static final SettingKey DRAIN =
      timeout("drain", 1, 3_600, "longest wait for work in flight when the instance stops")
          .withDefault("30s");
  static final SettingKey CONNECT =
      timeout("connect", 50, 60, "longest wait for a connection to a peer or target")
          .withDefault("1s");

  static final SettingKey HTTP_CONNECTIONS =
      count("http-connections", 8, "most open connections of callers and operators")
          .withDefault("1024");
  static final SettingKey REQUESTS_IN_FLIGHT =
      count("requests-in-flight", 1, "most service requests that are queued or dispatched")
          .withDefault("4096");
  static final SettingKey JOBS_QUEUED =
      count("jobs-queued", 1, "most jobs of the home domain that wait for capacity")
          .withDefault("10000");
  static final SettingKey BODY =
      size("body", BYTES_PER_KIB, 256, "largest body that the HTTP server takes")
          .withDefault("8MiB");
  static final SettingKey FRAME =
      size("frame", 64 * BYTES_PER_KIB, 64, "largest frame between instances").withDefault("4MiB");
  static final SettingKey RING =
      count("ring-events", 64, "capacity of the ring before each duty").withDefault("4096");
  static final SettingKey ANSWER_RETENTION =
      SettingKey.of(
              "limits", "answer-retention", SettingType.DURATION, "how long a final answer is kept")
          .withRange(60 * MILLIS_PER_SECOND, 7 * 24 * 3_600 * MILLIS_PER_SECOND)
          .withDefault("1h");

  static final SettingKey TLS_ENABLED =
      SettingKey.of(
              "tls",
              "enabled",
              SettingType.FLAG,
              "whether connections are encrypted and instances prove their id")
          .withDefault("true");
  static final SettingKey TLS_CERTIFICATE =
      tls("certificate", "certificate chain of this instance, PEM; required with TLS");
  static final SettingKey TLS_KEY =
      tls("key", "private key, PEM, PKCS 8 without a password; required with TLS");
  static final SettingKey TLS_TRUST =
      tls("trust", "certificates of the trusted authorities, PEM; required with TLS");

  static final SettingKey TOKENS_FILE =
      SettingKey.of(
          "tokens",
          "file",
          SettingType.PATH,
          "file with the digests of the tokens; without it every caller may do everything");

  static final SettingKey LOG_LEVEL =
      SettingKey.choice(
              "log",
              "level",
              List.of("error", "warn", "info", "debug", "trace"),
              "least important log lines that are written")
          .withDefault("info");

  /** Every key of the settings of one instance, in the order of the settings page. */
  public static final List<SettingKey> ALL =
      List.of(
          ID,
          REGION,
          DOMAIN,
          VOTER,
          DATA_FOLDER,
          HTTP_LISTEN,
          HTTP_ADVERTISED,
          PEER_LISTEN,
          PEER_ADVERTISED,
          PEERS_ID,
          PEERS_DOMAIN,
          PEERS_ADDRESS,
          PEERS_VOTER,
          LEASE,
          HEARTBEAT,
          ELECTION,
          DRAIN,
          CONNECT,
          HTTP_CONNECTIONS,
          REQUESTS_IN_FLIGHT,
          JOBS_QUEUED,
          BODY,
          FRAME,
          RING,
          ANSWER_RETENTION,
          TLS_ENABLED,
          TLS_CERTIFICATE,
          TLS_KEY,
          TLS_TRUST,
          TOKENS_FILE,
          LOG_LEVEL);

  private NodeKeys() {}

  private static SettingKey address(String table, String name, String doc) {
    return SettingKey.of(table, name, SettingType.ADDRESS, doc);
  }

  private static SettingKey timeout(String name, long minMillis, long maxSeconds, String doc) {
    return SettingKey.of("timeouts", name, SettingType.DURATION, doc)
        .withRange(minMillis, maxSeconds * MILLIS_PER_SECOND);
  }

  private static SettingKey count(String name, long minimum, String doc) {
    return SettingKey.of("limits", name, SettingType.NUMBER, doc).withRange(minimum, MAX_COUNT);
  }

  private static SettingKey size(String name, long minBytes, long maxMib, String doc) {
    return SettingKey.of("limits", name, SettingType.SIZE, doc)
        .withRange(minBytes, maxMib * BYTES_PER_MIB);
  }

  private static SettingKey tls(String name, String doc) {
    return SettingKey.of("tls", name, SettingType.PATH, doc);
  }
}
