package org.primrosegauge.core.request;

import java.util.Optional;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.RequestId;

/**
 * What a claim store answers.
 *
 * @since 0.1
 */
public sealed interface ClaimResult {

  /**
   * The claim is recorded durably and belongs to the request that asked.
   *
   * @since 0.1
   */
  record Granted() implements ClaimResult {}

  /**
   * Another request holds the key.
   *
   * @param holder request that holds it
   * @param sameContent whether the holder asked for the same thing
   * @param execution what is known about the holder's work; empty while it is not settled
   * @since 0.1
   */
  record AlreadyClaimed(RequestId holder, boolean sameContent, Optional<ExecutionStatus> execution)
      implements ClaimResult {}

  /**
   * The store cannot decide now, and this claim will not be granted later.
   *
   * @since 0.1
   */
  record Unavailable() implements ClaimResult {}
}
