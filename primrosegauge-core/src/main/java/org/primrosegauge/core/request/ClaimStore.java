package org.primrosegauge.core.request;

import java.util.function.Consumer;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.RequestId;

/**
 * Port to the durable record of idempotency keys. It makes a request that must not be repeated run
 * at most once over all instances and their restarts.
 *
 * <p>Calls return at once. The callback runs once, on a thread of the implementation.
 *
 * @since 0.1
 */
public interface ClaimStore {

  /**
   * Claims a key for a request.
   *
   * <p>A claim whose outcome the store does not know, such as one sent before the connection to the
   * quorum broke, is answered {@link ClaimResult.Unavailable}. Should it be recorded all the same,
   * the key stays with a request that never runs, and later claims find it so. A key that was
   * settled as {@link ExecutionStatus#NOT_RUN} is granted again.
   *
   * @param requestId request that wants to run
   * @param claim key and content
   * @param callback receives the result
   * @since 0.1
   */
  void claim(RequestId requestId, IdempotencyClaim claim, Consumer<ClaimResult> callback);

  /**
   * Records what became of the work under a key. Best effort: a claim that is never settled keeps
   * the key taken with an unknown outcome, which is safe. An unknown outcome may be followed by a
   * known one, never the other way round.
   *
   * @param requestId holder of the key
   * @param claim key and content
   * @param execution what became of the work; {@link ExecutionStatus#NOT_RUN} gives the key back
   * @since 0.1
   */
  void settle(RequestId requestId, IdempotencyClaim claim, ExecutionStatus execution);
}
