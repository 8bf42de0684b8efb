package org.primrosegauge.node.scope;

import java.time.Duration;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.node.scope.ScopeMessage.Answer;
import org.primrosegauge.node.scope.ScopeMessage.Question;
import reactor.core.publisher.Mono;

/**
 * Port to the other instances of a scope.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface RequestSender {

  /**
   * Sends a question to an instance.
   *
   * @param timeout longest wait for the answer
   * @return the answer; an error of kind {@link org.primrosegauge.core.ErrorKind#UNAVAILABLE} when
   *     the question was not sent, and of kind {@link
   *     org.primrosegauge.core.ErrorKind#OUTCOME_UNKNOWN} when its answer did not come
   * @since 0.3
   */
  Mono<Answer> ask(InstanceId to, Question question, Duration timeout);
}
