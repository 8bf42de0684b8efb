package org.primrosegauge.node.scope;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Draws the delays by which retries are spread, so that waiting requests do not synchronize.
 *
 * <p>Thread-safe.
 */
@FunctionalInterface
interface RetryJitter {

  /** Jitter that is drawn independently for each retry. */
  RetryJitter RANDOM = most -> ThreadLocalRandom.current().nextLong(most + 1);

  /**
   * Returns a delay.
   *
   * @param mostMillis longest delay, inclusive, in milliseconds
   * @return delay from 0 to {@code mostMillis}
   */
  long drawMillis(long mostMillis);
}
