package org.primrosegauge.bench.fault;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

class FreePortsTest {

  @Test
  void portInUseIsNotFree() throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      assertThat(FreePorts.areFree(taken.getLocalPort(), 1)).isFalse();
    }
  }

  @Test
  void adjacentPortsAreFound() {
    int base = FreePorts.find(FaultSite.PORTS).orElseThrow();
    assertThat(base % FaultSite.PORTS).isEqualTo(0);
  }
}
