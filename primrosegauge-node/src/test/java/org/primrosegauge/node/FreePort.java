package org.primrosegauge.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Finds a port that nobody listens on, for tests that run beside other processes. */
public final class FreePort {

  /** Below the ports that systems hand out to clients, which would take one that was just freed. */
  private static final int FIRST = 18_000;

  private static final int LAST = 32_000;
  private static final int TRIES = 200;

  private FreePort() {}

  /** Returns a port of a host; drawn anew each time, so that runs beside each other differ. */
  public static int on(String host) throws IOException {
    IOException last = null;
    for (int i = 0; i < TRIES; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST, LAST);
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(InetAddress.getByName(host), port));
        return port;
      } catch (IOException e) {
        last = e;
      }
    }
    throw last;
  }
}
