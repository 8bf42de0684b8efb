package org.primrosegauge.node.scope;

import org.primrosegauge.core.scope.PollResult;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.StopResult;
import reactor.core.publisher.Mono;

/** Workers that answer nothing, for tests. */
class UnresponsiveWorkers implements WorkerClient {

  @Override
  public Mono<StartReply> start(ScopeAction.Start order) {
    return Mono.just(new StartReply(StartResult.NO_ANSWER, 0));
  }

  @Override
  public Mono<StopResult> stop(ScopeAction.Stop order) {
    return Mono.just(StopResult.NO_ANSWER);
  }

  @Override
  public Mono<PollResult> poll(ScopeAction.Poll order) {
    return Mono.just(PollResult.withoutReport(PollResult.Kind.NO_ANSWER));
  }
}
