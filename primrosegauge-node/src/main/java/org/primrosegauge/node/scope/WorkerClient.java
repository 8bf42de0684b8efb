package org.primrosegauge.node.scope;

import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.StopResult;
import reactor.core.publisher.Mono;

/**
 * Port to the workers. No result fails: what goes wrong is one of the answers.
 *
 * @since 0.2
 */
public interface WorkerClient {

  /**
   * What became of an order to start.
   *
   * @param answer answer
   * @param clockMillis the worker's clock; 0 when it did not say
   * @since 0.2
   */
  record StartReply(StartResult result, long clockMillis) {}

  /**
   * Orders a worker to start a run.
   *
   * @since 0.2
   */
  Mono<StartReply> start(ScopeAction.Start order);

  /**
   * Orders a worker to stop a run.
   *
   * @since 0.2
   */
  Mono<StopResult> stop(ScopeAction.Stop order);

  /**
   * Looks at a worker.
   *
   * @since 0.2
   */
  Mono<PollResult> poll(ScopeAction.Poll order);
}
