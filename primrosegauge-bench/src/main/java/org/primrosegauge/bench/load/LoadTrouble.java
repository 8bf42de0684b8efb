package org.primrosegauge.bench.load;

import org.primrosegauge.standin.scope.EmulatedScope;

/**
 * Trouble during a replayed load.
 *
 * @param atMillis when it begins, from the beginning of the load
 * @param effect what it does
 */
record LoadTrouble(long atMillis, Effect effect) {

  /** What trouble does to the scope. */
  @FunctionalInterface
  interface Effect {
    void strike(EmulatedScope scope);
  }
}
