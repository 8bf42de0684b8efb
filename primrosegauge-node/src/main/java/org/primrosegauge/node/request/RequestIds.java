package org.primrosegauge.node.request;

import java.security.SecureRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.primrosegauge.core.RequestId;

/**
 * Makes request ids that no other instance makes, and no other run of this one.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class RequestIds {

  private final String prefix;
  private final AtomicLong count = new AtomicLong();

  /**
   * Creates a source with a random prefix.
   *
   * @since 0.1
   */
  public RequestIds() {
    prefix = String.format("%016x", new SecureRandom().nextLong());
  }

  /**
   * Returns an id that was not returned before.
   *
   * @since 0.1
   */
  public RequestId next() {
    return new RequestId(
        prefix + "-" + Long.toString(count.incrementAndGet(), Character.MAX_RADIX));
  }
}
