package org.primrosegauge.core.schedule.impl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.primrosegauge.core.job.JobPhase;

/**
 * Estimates when a waiting gang can start, from the declared ends of the running ones. Only
 * accelerators are counted.
 */
final class ShadowTime {

  private ShadowTime() {}

  static long of(DomainState state, Gang waiting, long nowMillis) {
    int free = 0;
    for (Worker worker : state.fleet.workers()) {
      free += Math.max(0, worker.freeAccelerators());
    }
    List<Gang> running = new ArrayList<>();
    for (Gang gang : state.gangs.values()) {
      if (gang.phase == JobPhase.RUNNING) {
        running.add(gang);
      }
    }
    running.sort(Comparator.comparingLong(gang -> endMillis(gang, nowMillis)));
    for (Gang gang : running) {
      free += gang.accelerators();
      if (free >= waiting.accelerators()) {
        return endMillis(gang, nowMillis);
      }
    }
    return nowMillis;
  }

  private static long endMillis(Gang gang, long nowMillis) {
    return Math.max(nowMillis, gang.startedMillis + gang.spec.declaredMillis());
  }
}
