package org.primrosegauge.core.request;

import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.TargetId;

/**
 * What the adapter has to do. Actions are carried out in the order of the list.
 *
 * @since 0.1
 */
public sealed interface RequestAction {

  /**
   * Send the request to an executor, and report one outcome.
   *
   * @param attempt attempt that the executor must echo
   * @param target executor
   * @param address base address of the executor
   * @param deadlineMillis time after which the answer is of no use
   * @since 0.1
   */
  record Dispatch(AttemptId attempt, TargetId target, String address, long deadlineMillis)
      implements RequestAction {}

  /**
   * Send the request to a peer instance, and report one outcome.
   *
   * @param attempt attempt that the peer must echo
   * @param peer instance that has a free slot
   * @param deadlineMillis time after which the answer is of no use
   * @since 0.1
   */
  record Forward(AttemptId attempt, InstanceId peer, long deadlineMillis)
      implements RequestAction {}

  /**
   * Close the connection of an attempt; its answer is of no use any more.
   *
   * @param attempt attempt
   * @since 0.1
   */
  record Abandon(AttemptId attempt) implements RequestAction {}

  /**
   * Give the caller the whole answer of this attempt. Final.
   *
   * @param attempt attempt whose answer is the right one
   * @since 0.1
   */
  record Deliver(AttemptId attempt) implements RequestAction {}

  /**
   * Give the caller an error. Final.
   *
   * @param request request
   * @param reason why; gives the kind
   * @param execution whether the work ran
   * @param retryAfterMillis when coming back helps, in milliseconds; 0 when it does not
   * @since 0.1
   */
  record Fail(
      RequestId request, RefusalReason reason, ExecutionStatus execution, long retryAfterMillis)
      implements RequestAction {}

  /**
   * Ask the claim store, and report the result.
   *
   * @param request request that waits for the result
   * @param claim key and content
   * @since 0.1
   */
  record Claim(RequestId request, IdempotencyClaim claim) implements RequestAction {}

  /**
   * Tell the claim store what became of the work.
   *
   * @param request holder of the key
   * @param claim key and content
   * @param execution what became of the work
   * @since 0.1
   */
  record Settle(RequestId request, IdempotencyClaim claim, ExecutionStatus execution)
      implements RequestAction {}

  /**
   * Count something.
   *
   * @param reason what to count
   * @since 0.1
   */
  record Count(CountedReason reason) implements RequestAction {}
}
