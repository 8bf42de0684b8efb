package org.primrosegauge.node.request;

import java.util.List;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.request.AttemptOutcome;
import org.primrosegauge.core.request.PeerLoad;

/**
 * Messages about service requests between instances.
 *
 * @since 0.1
 */
public sealed interface RequestMessage {

  /**
   * Asks a peer to get a request answered by an executor of its own, in one attempt.
   *
   * @param request request
   * @param attempt number of the sender's attempt
   * @param customer customer
   * @param service service
   * @param remainingMillis time left until the deadline, in milliseconds
   * @param repeatable whether the work may run more than once
   * @param mediaType media type of the body
   * @param body body
   * @since 0.1
   */
  record ForwardedRequest(
      RequestId request,
      int attempt,
      CustomerId customer,
      ServiceId service,
      long remainingMillis,
      boolean repeatable,
      String mediaType,
      byte[] body)
      implements RequestMessage {}

  /**
   * Answers a {@link ForwardedRequest}.
   *
   * @param request request
   * @param attempt number of the sender's attempt
   * @param outcome how the attempt ended
   * @param status HTTP status of the executor's answer; 0 without an answer
   * @param mediaType media type of the answer; empty without one
   * @param body body of the answer; empty without one
   * @since 0.1
   */
  record ForwardedAnswer(
      RequestId request,
      int attempt,
      AttemptOutcome outcome,
      int status,
      String mediaType,
      byte[] body)
      implements RequestMessage {}

  /**
   * Tells a peer what this instance has to offer.
   *
   * @param loads one for each service that has executors here
   * @since 0.1
   */
  record Offers(List<PeerLoad> loads) implements RequestMessage {

    /** Copies the list. */
    public Offers {
      loads = List.copyOf(loads);
    }
  }
}
