package org.primrosegauge.bench.fault;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The small site of the fault runs: five instances in two failure domains on loopback. Each
 * instance reaches each other one through a relay port of its own.
 *
 * @since 0.1
 */
public final class FaultSite {

  /** Failure domains. */
  public static final List<String> DOMAINS = List.of("klang", "penang");

  /** Instances; the name begins with that of the failure domain. */
  public static final List<String> INSTANCES =
      List.of("klang-1", "klang-2", "klang-3", "penang-1", "penang-2");

  /** Ports that one run takes, from its base port on. */
  static final int PORTS = 100;

  private static final List<String> VOTERS = List.of("klang-1", "klang-2", "penang-1");
  private static final int HTTP_OFFSET = 0;
  private static final int PEER_OFFSET = 20;
  private static final int RELAY_OFFSET = 40;

  private final int basePort;

  /**
   * Creates the site.
   *
   * @param basePort first of 100 ports
   * @since 0.1
   */
  public FaultSite(int basePort) {
    this.basePort = basePort;
  }

  /**
   * Returns the failure domain of an instance.
   *
   * @since 0.1
   */
  public static String domainOf(String instance) {
    return instance.substring(0, instance.indexOf('-'));
  }

  /**
   * Returns the base address of an instance's HTTP server.
   *
   * @since 0.1
   */
  public String http(String instance) {
    return "http://127.0.0.1:" + (basePort + HTTP_OFFSET + INSTANCES.indexOf(instance));
  }

  /**
   * Returns the port on which an instance listens for others.
   *
   * @since 0.1
   */
  public int peerPort(String instance) {
    return basePort + PEER_OFFSET + INSTANCES.indexOf(instance);
  }

  /**
   * Returns the port through which one instance reaches another.
   *
   * @since 0.1
   */
  public int relayPort(String from, String to) {
    int pair = INSTANCES.indexOf(from) * INSTANCES.size() + INSTANCES.indexOf(to);
    return basePort + RELAY_OFFSET + pair;
  }

  /**
   * Writes the settings of all instances.
   *
   * @since 0.1
   */
  public void write(Path folder) throws IOException {
    Files.createDirectories(folder);
    for (String instance : INSTANCES) {
      Files.writeString(folder.resolve(instance + ".toml"), settings(instance));
    }
  }

  /**
   * Returns the configuration of the site.
   *
   * @param quota quota of the customer, so that contents differ
   * @since 0.1
   */
  public static String configuration(int quota) {
    StringBuilder text = new StringBuilder("[[regions]]\nid = \"semenanjung\"\n");
    for (String domain : DOMAINS) {
      text.append("\n[[failure-domains]]\nid = \"").append(domain).append("\"\n");
      text.append("region = \"semenanjung\"\nworkers = 4\nworkers-per-rack = 2\n");
      text.append("accelerators-per-worker = 8\ncores-per-worker = 64\n");
      text.append("memory-per-worker = \"250GiB\"\n");
    }
    text.append("\n[[customers]]\nid = \"depot\"\nquota-accelerators = ").append(quota);
    return text.append('\n').toString();
  }

  private String settings(String instance) {
    StringBuilder text = new StringBuilder();
    text.append("[instance]\nid = \"").append(instance).append("\"\nregion = \"semenanjung\"\n");
    text.append("failure-domain = \"").append(domainOf(instance)).append("\"\n");
    boolean voter = VOTERS.contains(instance);
    text.append("voter = ").append(voter).append('\n');
    text.append(voter ? "data-folder = \"" + instance + ".data\"\n" : "");
    String http = http(instance).substring("http://".length());
    text.append("\n[http]\nlisten = \"").append(http).append("\"\n");
    text.append("\n[peer]\nlisten = \"127.0.0.1:").append(peerPort(instance)).append("\"\n");
    for (String other : INSTANCES) {
      if (!other.equals(instance)) {
        text.append("\n[[peers]]\nid = \"").append(other).append("\"\nfailure-domain = \"");
        text.append(domainOf(other)).append("\"\naddress = \"127.0.0.1:");
        text.append(relayPort(instance, other)).append("\"\nvoter = ");
        text.append(VOTERS.contains(other)).append('\n');
      }
    }
    return text.append("\n[tls]\nenabled = false\n").toString();
  }
}
