package org.primrosegauge.core.request;

import org.primrosegauge.core.RequestId;

/**
 * Identifies one attempt to get a request answered. An answer belongs to a caller only if it
 * carries the request and the number of the attempt that waits for it.
 *
 * @param request request
 * @param number counts from 1
 * @since 0.1
 */
public record AttemptId(RequestId request, int number) {

  /** Checks the range. */
  public AttemptId {
    if (number < 1) {
      throw new IllegalArgumentException("attempt number " + number);
    }
  }

  @Override
  public String toString() {
    return request + "/" + number;
  }
}
