package org.primrosegauge.node.transport;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** When an ended connection is opened again, in virtual time. */
class PeerLinkTest {

  /** Half a second after a cut is over, requests shall find their way again. */
  private static final long MOST_MILLIS = 500;

  @AfterEach
  void end() {
    VirtualTimeScheduler.reset();
  }

  @Test
  void longCutDoesNotMakeTheNextTryLate() {
    VirtualTimeScheduler time = VirtualTimeScheduler.getOrSet();
    List<Long> tries = new ArrayList<>();
    Mono.defer(
            () -> {
              tries.add(time.now(TimeUnit.MILLISECONDS));
              return Mono.error(new java.io.IOException("refused"));
            })
        .retryWhen(PeerLink.reopening())
        .subscribe();
    time.advanceTimeBy(Duration.ofSeconds(30));
    assertThat(tries.size()).isGreaterThan(30);
    for (int i = 1; i < tries.size(); i++) {
      assertThat(tries.get(i) - tries.get(i - 1)).isAtMost(MOST_MILLIS);
    }
  }
}
