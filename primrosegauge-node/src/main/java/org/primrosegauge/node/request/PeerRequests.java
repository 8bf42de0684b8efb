package org.primrosegauge.node.request;

import java.util.Optional;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.request.AttemptOutcome;
import org.primrosegauge.core.request.RefusalReason;
import org.primrosegauge.core.request.RequestDescription;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.transport.PeerTransport;
import reactor.core.publisher.Mono;

/**
 * Gets requests of peers answered by executors of this instance.
 *
 * <p>A request gets an id of its own here, since the same peer may send it again while the first
 * attempt is still running. Thread-safe.
 */
final class PeerRequests {

  private final RoutingDuty duty;
  private final RequestIds ids;
  private final MonotonicClock clock;

  PeerRequests(RoutingDuty duty, RequestIds ids, MonotonicClock clock) {
    this.duty = duty;
    this.ids = ids;
    this.clock = clock;
  }

  void register(PeerTransport transport) {
    transport.onAsk(RequestMessage.ForwardedRequest.class, (from, request) -> answer(request));
  }

  private Mono<RequestMessage.ForwardedAnswer> answer(RequestMessage.ForwardedRequest request) {
    RequestDescription description =
        new RequestDescription(
            ids.next(),
            request.customer(),
            request.service(),
            clock.nowMillis() + request.remainingMillis(),
            request.repeatable(),
            Optional.empty(),
            true,
            request.body().length);
    return duty.submit(description, new RequestBody(request.mediaType(), request.body()))
        .map(PeerRequests::resultOf)
        .map(result -> answer(request, result));
  }

  private static RequestMessage.ForwardedAnswer answer(
      RequestMessage.ForwardedRequest request, AttemptResult result) {
    WholeAnswer answer = result.answer();
    return new RequestMessage.ForwardedAnswer(
        request.request(),
        request.attempt(),
        result.outcome(),
        answer.status(),
        answer.mediaType(),
        answer.body());
  }

  private static AttemptResult resultOf(RequestResult result) {
    if (result instanceof RequestResult.Answered answered) {
      return answered.answer().body().length > PeerForwarder.MAX_BODY_BYTES
          ? AttemptResult.without(AttemptOutcome.UNUSABLE_ANSWER)
          : new AttemptResult(AttemptOutcome.ANSWERED, answered.answer());
    }
    return AttemptResult.without(outcomeOf((RequestResult.Refused) result));
  }

  private static AttemptOutcome outcomeOf(RequestResult.Refused refused) {
    if (refused.execution() == ExecutionStatus.NOT_RUN) {
      return AttemptOutcome.DECLINED;
    }
    return refused.reason() == RefusalReason.TARGET_FAILED
        ? AttemptOutcome.ANSWERED_ERROR
        : AttemptOutcome.CONNECTION_LOST;
  }
}
