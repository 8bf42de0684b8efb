package org.primrosegauge.standin.scope;

import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeResult;

/** Told of what the workers and the log of an {@link EmulatedScope} do, at the time it happens. */
interface ScopeObserver {

  /** A run has begun on a worker. */
  default void began(EmulatedWorker worker, EmulatedWorker.Run run) {}

  /** A run has ended on a worker, or its worker has. */
  default void ended(EmulatedWorker worker, EmulatedWorker.Run run, RunOutcome outcome) {}

  /** The ends that a worker lists are lost, or of no meaning as its lease has lapsed. */
  default void endsLost(EmulatedWorker worker) {}

  /** A command was committed and applied. */
  default void committed(ScopeCommand command, ScopeResult result) {}
}
