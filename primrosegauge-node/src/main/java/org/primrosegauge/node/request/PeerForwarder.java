package org.primrosegauge.node.request;

import java.time.Duration;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.request.AttemptId;
import org.primrosegauge.core.request.AttemptOutcome;
import org.primrosegauge.core.request.RequestDescription;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.primrosegauge.node.transport.PeerTransport;
import reactor.core.publisher.Mono;

/**
 * Sends attempts to peer instances over the peer transport.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
final class PeerForwarder {

  /** Longest body that fits a frame with its envelope, in bytes. */
  static final int MAX_BODY_BYTES = PeerTransport.MAX_FRAME_BYTES - 4_096;

  private final PeerTransport transport;
  private final NodeMetrics metrics;

  PeerForwarder(PeerTransport transport, NodeMetrics metrics) {
    this.transport = transport;
    this.metrics = metrics;
  }

  /** Sends one attempt. The result never fails. */
  Mono<AttemptResult> send(
      InstanceId peer,
      AttemptId attempt,
      RequestDescription description,
      RequestBody body,
      long remainingMillis) {
    if (!transport.isConnected(peer) || body.bytes().length > MAX_BODY_BYTES) {
      return Mono.just(AttemptResult.without(AttemptOutcome.NOT_SENT));
    }
    RequestMessage.ForwardedRequest message =
        new RequestMessage.ForwardedRequest(
            attempt.request(),
            attempt.number(),
            description.customer(),
            description.service(),
            remainingMillis,
            description.repeatable(),
            body.mediaType(),
            body.bytes());
    return transport
        .ask(
            peer,
            message,
            RequestMessage.ForwardedAnswer.class,
            Duration.ofMillis(Math.max(1, remainingMillis)))
        .map(answer -> resultOf(attempt, answer))
        .onErrorReturn(AttemptResult.without(AttemptOutcome.CONNECTION_LOST));
  }

  private AttemptResult resultOf(AttemptId attempt, RequestMessage.ForwardedAnswer answer) {
    if (!attempt.request().equals(answer.request()) || attempt.number() != answer.attempt()) {
      metrics.count("primrosegauge.routing", "peer", RoutingEvent.MISMATCHED_PEER_ANSWER);
      return AttemptResult.without(AttemptOutcome.MISMATCHED);
    }
    return new AttemptResult(
        answer.outcome(), new WholeAnswer(answer.status(), answer.mediaType(), answer.body()));
  }
}
