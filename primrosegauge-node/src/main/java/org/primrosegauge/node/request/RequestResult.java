package org.primrosegauge.node.request;

import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.request.AttemptId;
import org.primrosegauge.core.request.RefusalReason;

/**
 * The final answer to a request.
 *
 * @since 0.1
 */
sealed interface RequestResult {

  /**
   * An executor's answer.
   *
   * @param attempt attempt that was answered
   * @param answer answer
   */
  record Answered(AttemptId attempt, WholeAnswer answer) implements RequestResult {}

  /**
   * An error.
   *
   * @param request request
   * @param reason why
   * @param execution whether the work ran
   * @param retryAfterMillis when to come back, in milliseconds; 0 when that does not help
   */
  record Refused(
      RequestId request, RefusalReason reason, ExecutionStatus execution, long retryAfterMillis)
      implements RequestResult {}
}
