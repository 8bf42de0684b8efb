package org.primrosegauge.bench.fault;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.OptionalInt;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Finds ports on loopback that nobody listens on, so that runs beside each other do not collide.
 */
final class FreePorts {

  /** Below the ports that systems hand out to clients. */
  private static final int FIRST = 18_000;

  private static final int LAST = 32_000;
  private static final int TRIES = 200;

  private FreePorts() {}

  /**
   * Returns the first of some free ports in a row. Where to look is drawn anew each time: two runs
   * that begin together would otherwise find the same ones free.
   */
  static OptionalInt find(int count) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    int places = (LAST - FIRST) / count;
    for (int i = 0; i < TRIES; i++) {
      int base = FIRST + count * random.nextInt(places);
      if (areFree(base, count)) {
        return OptionalInt.of(base);
      }
    }
    return OptionalInt.empty();
  }

  /** Tells whether nobody listens on any of some ports in a row. */
  static boolean areFree(int base, int count) {
    for (int port = base; port < base + count; port++) {
      if (!isFree(port)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
