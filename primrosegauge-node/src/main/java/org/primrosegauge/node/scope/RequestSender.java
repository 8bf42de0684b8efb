package org.primrosegauge.node.scope;

import java.time.Duration;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.node.scope.ScopeMessage.Answer;
import org.primrosegauge.node.scope.ScopeMessage.Question;
import reactor.core.publisher.Mono;

/**
 * Sends requests to other instances of a scope.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface RequestSender {

  /**
   * Sends a request to an instance.
   *
   * @param timeout longest wait for the response
   * @return the response; an error of kind {@link org.primrosegauge.core.ErrorKind#UNAVAILABLE} if
   *     the request was not sent, and of kind {@link
   *     org.primrosegauge.core.ErrorKind#OUTCOME_UNKNOWN} if no response arrived in time
   * @since 0.3
   */
  Mono<Answer> ask(InstanceId to, Question request, Duration timeout);
}
