package org.primrosegauge.node.scope;

import org.primrosegauge.core.Term;
import org.primrosegauge.core.scope.ScopeResult;
import reactor.core.publisher.Mono;

/** Port to the replicated log, as far as the scheduler needs it. Used on the log's thread. */
interface Leadership {

  /** Tells whether this replica leads. */
  boolean isLeader();

  /** Tells whether it leads under a valid lease and holds everything that is committed. */
  boolean isAuthoritative(long nowMillis);

  /**
   * Tells whether it leads under a valid lease and holds all of earlier terms, so that no other
   * leader has decided anything that it does not know.
   */
  boolean hasLease(long nowMillis);

  /** Returns the present term. */
  Term term();

  /** Proposes a command; the result comes when it has been applied. */
  Mono<ScopeResult> propose(byte[] command);

  /**
   * Has a task run on the log's thread, before calls; false after its end. May be called anywhere.
   */
  boolean execute(Runnable task);
}
