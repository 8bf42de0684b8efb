package org.primrosegauge.node.scope;

import org.primrosegauge.core.Term;
import org.primrosegauge.core.scope.ScopeResult;
import reactor.core.publisher.Mono;

/** The part of the replicated log that the scheduler needs. Used on the log thread. */
interface Leadership {

  /** Returns whether this replica is the leader. */
  boolean isLeader();

  /**
   * Returns whether this replica leads under a valid lease and has applied all committed entries.
   */
  boolean isAuthoritative(long nowMillis);

  /**
   * Returns whether this replica leads under a valid lease and has applied all entries of earlier
   * terms, so that it knows every decision of other leaders.
   */
  boolean holdsLease(long nowMillis);

  /** Returns the current term. */
  Term term();

  /** Proposes a command; the result is emitted once the command has been applied. */
  Mono<ScopeResult> propose(byte[] command);

  /**
   * Enqueues a task on the log thread, ahead of callers' requests. May be called from any thread.
   *
   * @return false if the log thread has ended
   */
  boolean execute(Runnable task);
}
