package org.primrosegauge.core;

/**
 * Address of a TCP endpoint.
 *
 * @param host IP address or host name; an IPv6 address has no brackets
 * @param port port number, 0 to {@value #MAX_PORT}; 0 lets the operating system choose a free port
 * @since 0.1
 */
public record HostPort(String host, int port) {

  /** Highest port number. */
  public static final int MAX_PORT = 65_535;

  /** Validates that the host is not empty and that the port is in range. */
  public HostPort {
    if (host.isEmpty() || port < 0 || port > MAX_PORT) {
      throw new IllegalArgumentException("invalid address: " + host + ":" + port);
    }
  }

  /**
   * Parses {@code host:port} or {@code [IPv6 address]:port}.
   *
   * @param text text to parse
   * @param location origin of the text, such as a file and line; reported in the error
   * @throws InvalidInputException if the text is not a valid address
   * @since 0.1
   */
  public static HostPort parse(String text, String location) throws InvalidInputException {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : parseHost(text.substring(0, colon));
    int port = colon < 0 ? -1 : parsePort(text.substring(colon + 1));
    if (host.isEmpty() || host.contains(" ") || port < 0) {
      throw new InvalidInputException(
          "invalid address: '" + text + "'",
          "use an IP address and a port number up to " + MAX_PORT + ", such as 10.0.0.1:7300",
          location);
    }
    return new HostPort(host, port);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof HostPort that && port == that.port && host.equals(that.host);
  }

  @Override
  public int hashCode() {
    return 31 * host.hashCode() + port;
  }

  @Override
  public String toString() {
    return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + port;
  }

  private static String parseHost(String host) {
    boolean bracketed = host.startsWith("[") && host.endsWith("]");
    if (bracketed) {
      return host.substring(1, host.length() - 1);
    }
    return host.indexOf(':') >= 0 ? "" : host;
  }

  private static int parsePort(String text) {
    if (!text.matches("[0-9]{1,5}")) {
      return -1;
    }
    int port = Integer.parseInt(text);
    return port <= MAX_PORT ? port : -1;
  }
}
