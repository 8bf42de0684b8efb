package org.primrosegauge.node.duty;

import java.util.concurrent.TimeUnit;

/**
 * Source of the present for the deciding functions of the core, in milliseconds that never go back.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MonotonicClock {

  /**
   * Returns the present.
   *
   * @return milliseconds since an arbitrary origin, the same for the whole process
   * @since 0.1
   */
  long nowMillis();

  /**
   * Returns the clock of this machine.
   *
   * @since 0.1
   */
  static MonotonicClock system() {
    return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
