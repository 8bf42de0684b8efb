package org.primrosegauge.node.scope;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.primrosegauge.node.duty.DutyLoad;
import org.primrosegauge.node.scope.SchedulerRunner.EventKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What deciding costs at the leader, by kind of event, and how far behind its thread is: one line a
 * second in the log, and metrics.
 *
 * <p>Used on the log thread only.
 */
final class SchedulerLoad {

  private static final Logger LOG = LoggerFactory.getLogger(SchedulerLoad.class);
  private static final long REPORT_MILLIS = 1_000;

  private static final class Cost {
    long events;
    long nanos;
    long longestNanos;
    long examined;

    @Override
    public String toString() {
      return String.format(
          "events=%d ms=%d longest_us=%d examined=%d",
          events,
          TimeUnit.NANOSECONDS.toMillis(nanos),
          TimeUnit.NANOSECONDS.toMicros(longestNanos),
          examined);
    }
  }

  private final ScopeMetrics meters;
  private final Map<EventKind, Cost> costs = new EnumMap<>(EventKind.class);
  private long nextReportMillis;

  SchedulerLoad(ScopeMetrics meters) {
    this.meters = meters;
  }

  /** Notes that the scheduler has handled an event. */
  void record(EventKind kind, long nanos, long examined) {
    Cost cost = costs.computeIfAbsent(kind, each -> new Cost());
    cost.events++;
    cost.nanos += nanos;
    cost.longestNanos = Math.max(cost.longestNanos, nanos);
    cost.examined += examined;
  }

  /** Writes what was counted since the last report, if one is due. */
  void reportIfDue(long nowMillis, boolean leads, Supplier<DutyLoad.Figures> thread) {
    if (nowMillis < nextReportMillis) {
      return;
    }
    nextReportMillis = nowMillis + REPORT_MILLIS;
    DutyLoad.Figures load = thread.get();
    meters.recordThreadLoad(load);
    if (leads) {
      LOG.info("event=LOAD thread={} decisions={}", load, costs);
    }
    costs.forEach(
        (kind, cost) -> meters.recordDecisions(kind, cost.events, cost.nanos, cost.examined));
    costs.clear();
  }
}
