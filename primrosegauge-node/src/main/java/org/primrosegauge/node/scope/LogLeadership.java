package org.primrosegauge.node.scope;

import org.primrosegauge.core.Term;
import org.primrosegauge.core.scope.ScopeResult;
import org.primrosegauge.node.duty.Duty;
import org.primrosegauge.node.log.ReplicatedLog;
import reactor.core.publisher.Mono;

/** Leadership of the replicated log. */
record LogLeadership(ReplicatedLog<ScopeResult> log) implements Leadership {

  @Override
  public boolean isLeader() {
    return log.isLeader();
  }

  @Override
  public boolean isAuthoritative(long nowMillis) {
    return log.isAuthoritative(nowMillis);
  }

  @Override
  public boolean hasLease(long nowMillis) {
    return log.holdsLease(nowMillis);
  }

  @Override
  public Term term() {
    return log.term();
  }

  @Override
  public Mono<ScopeResult> propose(byte[] command) {
    return log.propose(command);
  }

  @Override
  public boolean execute(Runnable task) {
    return log.duty().offer(Duty.Rank.ANSWER, task);
  }
}
