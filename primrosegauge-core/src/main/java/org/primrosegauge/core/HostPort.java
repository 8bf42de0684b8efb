package org.primrosegauge.core;

/**
 * Address of a TCP endpoint.
 *
 * @param host IP number or host name; an IPv6 number without its brackets
 * @param port port, 0 to {@value #MAX_PORT}; 0 lets the system choose a free one
 * @since 0.1
 */
public record HostPort(String host, int port) {

  /** Greatest port. */
  public static final int MAX_PORT = 65_535;

  /** Checks the ranges. */
  public HostPort {
    if (host.isEmpty() || port < 0 || port > MAX_PORT) {
      throw new IllegalArgumentException("address " + host + ":" + port);
    }
  }

  /**
   * Reads {@code host:port} or {@code [IPv6 number]:port}.
   *
   * @param text text to read
   * @param location where the text was found, for the error
   * @throws InvalidInputException when the text is no address
   * @since 0.1
   */
  public static HostPort parse(String text, String location) throws InvalidInputException {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : parseHost(text.substring(0, colon));
    int port = colon < 0 ? -1 : parsePort(text.substring(colon + 1));
    if (host.isEmpty() || host.contains(" ") || port < 0) {
      throw new InvalidInputException(
          "not an address: '" + text + "'",
          "write an IP number and a port up to " + MAX_PORT + ", such as 10.0.0.1:7300",
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
