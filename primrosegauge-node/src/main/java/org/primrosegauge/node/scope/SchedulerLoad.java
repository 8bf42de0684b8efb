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
 * Reports the cost of scheduling decisions at the leader by kind of event, and the load of its
 * thread, once per second in the log and as metrics.
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

  private final ScopeMetrics metrics;
  private final Map<EventKind, Cost> costs = new EnumMap<>(EventKind.class);
  private long nextReportMillis;

  SchedulerLoad(ScopeMetrics metrics) {
    this.metrics = metrics;
  }

  /**
   * Records that the scheduler has handled an event.
   *
   * @param nanos time it took, in nanoseconds
   * @param examined workers, runs, jobs and tasks examined
   */
  void recordDecision(EventKind kind, long nanos, long examined) {
    Cost cost = costs.computeIfAbsent(kind, each -> new Cost());
    cost.events++;
    cost.nanos += nanos;
    cost.longestNanos = Math.max(cost.longestNanos, nanos);
    cost.examined += examined;
  }

  /** Reports what was recorded since the last report, if a report is due. */
  void reportIfDue(long nowMillis, boolean isLeading, Supplier<DutyLoad.Figures> threadLoad) {
    if (nowMillis < nextReportMillis) {
      return;
    }
    nextReportMillis = nowMillis + REPORT_MILLIS;
    DutyLoad.Figures load = threadLoad.get();
    metrics.recordThreadLoad(load);
    if (isLeading) {
      LOG.info("event=LOAD thread={} decisions={}", load, costs);
    }
    costs.forEach(
        (kind, cost) -> metrics.recordDecisions(kind, cost.events, cost.nanos, cost.examined));
    costs.clear();
  }
}
