package org.primrosegauge.core.scope;
import org.junit.jupiter.api.Test;
class DebugTest {
  @Test void go() throws Exception {
    ScopeWorld.trace = System.getProperty("trace");
    if (Long.getLong("seed") != null) { new ScopeStateMachineTest().keepsItsPromisesAfterAnyOrderOfEvents(Long.getLong("seed")); return; }
    for (long s = Long.getLong("from"); s < Long.getLong("to"); s++) {
      try { new ScopeStateMachineTest().keepsItsPromisesAfterAnyOrderOfEvents(s); }
      catch (Throwable t) { System.out.println("SEED " + s + " " + String.valueOf(t.getMessage()).replace('\n',' ')); }
    }
  }
}
