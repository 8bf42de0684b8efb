package org.primrosegauge.node.scope;

import org.primrosegauge.core.scope.LookAnswer;
import org.primrosegauge.core.scope.ScopeAction;
import org.primrosegauge.core.scope.StartAnswer;
import org.primrosegauge.core.scope.StopAnswer;
import reactor.core.publisher.Mono;

/** Workers that never respond, for tests. */
class UnresponsiveWorkers implements WorkerClient {

  @Override
  public Mono<StartReply> start(ScopeAction.Start request) {
    return Mono.just(new StartReply(StartAnswer.NO_ANSWER, 0));
  }

  @Override
  public Mono<StopAnswer> stop(ScopeAction.Stop request) {
    return Mono.just(StopAnswer.NO_ANSWER);
  }

  @Override
  public Mono<LookAnswer> poll(ScopeAction.Look request) {
    return Mono.just(LookAnswer.without(LookAnswer.Kind.NO_ANSWER));
  }
}
