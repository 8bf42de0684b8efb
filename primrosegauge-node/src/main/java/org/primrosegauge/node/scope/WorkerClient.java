package org.primrosegauge.node.scope;

import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.StopResult;
import reactor.core.publisher.Mono;

/**
 * Client of the workers. No result signals an error: failures are among the results.
 *
 * @since 0.2
 */
public interface WorkerClient {

  /**
   * Outcome of a request to start a run.
   *
   * @param result result
   * @param clockMillis clock of the worker, in milliseconds; 0 if it is not known
   * @since 0.2
   */
  record StartReply(StartResult result, long clockMillis) {}

  /**
   * Requests an incarnation of a worker to start a run. No other incarnation may carry the request
   * out, whatever happens to the worker meanwhile.
   *
   * @since 0.2
   */
  Mono<StartReply> start(ScopeAction.Start request);

  /**
   * Requests an incarnation of a worker to stop a run.
   *
   * @since 0.2
   */
  Mono<StopResult> stop(ScopeAction.Stop request);

  /**
   * Polls an incarnation of a worker for its runs. The ends that it acknowledges and the lease that
   * it renews are those of this incarnation, so no other one may carry the request out.
   *
   * @since 0.2
   */
  Mono<PollResult> poll(ScopeAction.Poll request);
}
