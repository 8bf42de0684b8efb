package org.primrosegauge.node.scope;

import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.scope.JobEntry;
import org.primrosegauge.core.scope.JobStatus;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.node.duty.DutyLoad;
import org.primrosegauge.node.metrics.NodeMetrics;

/**
 * Times and queue lengths of a scope at the instance that leads it.
 *
 * <p>Used on the log thread, except for {@link #recordWorkerCall} and {@link #recordShed}, which
 * are thread-safe.
 *
 * @since 0.3
 */
public final class ScopeMetrics {

  private static final long GAUGES_MILLIS = 1_000;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long NANOS_PER_MICRO = 1_000;

  /** What waits in the queues of one priority. */
  private static final class WaitingJobs {
    long jobs;
    long oldestMillis = Long.MAX_VALUE;
  }

  private final NodeMetrics metrics;
  private final MultiGauge waitingJobs;
  private final MultiGauge longestWait;
  private final Set<JobId> queuedBefore = new HashSet<>();
  private final Map<JobId, JobStatus> openBefore = new HashMap<>();
  private long nextGaugesMillis;
  private volatile DutyLoad.Figures threadLoad = DutyLoad.Figures.NONE;

  /**
   * Creates meters in a registry.
   *
   * @since 0.3
   */
  public ScopeMetrics(NodeMetrics metrics) {
    this.metrics = metrics;
    this.waitingJobs =
        MultiGauge.builder("primrosegauge.scope.waiting.jobs")
            .description("Accepted jobs of which nothing has started, by priority")
            .register(metrics.registry());
    metrics.gauge("primrosegauge.scope.thread.waiting", () -> threadLoad.waiting());
    metrics.gauge(
        "primrosegauge.scope.thread.longest.wait.millis", () -> threadLoad.longestWaitMillis());
    metrics.gauge(
        "primrosegauge.scope.thread.log.longest.wait.millis",
        () -> threadLoad.longestFirstWaitMillis());
    metrics.gauge("primrosegauge.scope.thread.busy.millis", () -> threadLoad.busyMillis());
    this.longestWait =
        MultiGauge.builder("primrosegauge.scope.waiting.longest.seconds")
            .description("Age of the oldest such job, by priority")
            .register(metrics.registry());
  }

  // Calls and jobs

  /**
   * Notes the answer of a worker, or that none came.
   *
   * @since 0.3
   */
  public void recordWorkerCall(String call, Enum<?> answer, long millis) {
    metrics.time("primrosegauge.worker.call", call, answer, millis);
  }

  /**
   * Counts a question that the leader's thread did not come to in time.
   *
   * @since 0.3
   */
  public void recordShed(Enum<?> why) {
    metrics.count("primrosegauge.scope.given.up", "log", why);
  }

  /**
   * Notes what events of one kind have cost the scheduler.
   *
   * @param nanos time that they took, in nanoseconds
   * @param examined workers, runs, jobs and tasks that were looked at
   * @since 0.3
   */
  public void recordDecisions(Enum<?> kind, long events, long nanos, long examined) {
    metrics.add("primrosegauge.scope.decisions", "log", kind, events);
    metrics.add("primrosegauge.scope.decision.micros", "log", kind, nanos / NANOS_PER_MICRO);
    metrics.add("primrosegauge.scope.examined", "log", kind, examined);
  }

  /**
   * Notes the load of the thread that keeps the log and decides.
   *
   * @since 0.3
   */
  public void recordThreadLoad(DutyLoad.Figures load) {
    threadLoad = load;
  }

  /**
   * Looks at the jobs that a command is about, before it is applied.
   *
   * @since 0.3
   */
  public void beforeApply(ScopeCommand command, ScopeLedger ledger) {
    queuedBefore.clear();
    openBefore.clear();
    for (JobId job : jobsOf(command)) {
      JobStatus status = ledger.job(job).map(JobEntry::status).orElse(null);
      if (status == JobStatus.QUEUED) {
        queuedBefore.add(job);
      }
      if (status != null && !status.isFinal()) {
        openBefore.put(job, status);
      }
    }
  }

  /**
   * Notes which of these jobs have begun or ended by the command.
   *
   * @since 0.3
   */
  public void afterApply(ScopeLedger ledger, long wallMillis) {
    for (JobId job : openBefore.keySet()) {
      JobEntry entry = ledger.job(job).orElse(null);
      if (entry == null) {
        continue;
      }
      long age = Math.max(0, wallMillis - entry.job().submittedMillis());
      String priority = "priority-" + ledger.configuration().priorityOf(entry.job().queue());
      if (queuedBefore.contains(job) && entry.status() == JobStatus.RUNNING) {
        metrics.time("primrosegauge.job.wait", priority, entry.status(), age);
      }
      if (entry.status().isFinal()) {
        metrics.time("primrosegauge.job.time", priority, entry.status(), age);
      }
    }
  }

  private static List<JobId> jobsOf(ScopeCommand command) {
    if (command instanceof ScopeCommand.Place place) {
      return place.placements().stream().map(each -> each.run().task().job()).distinct().toList();
    } else if (command instanceof ScopeCommand.RecordEnds ends) {
      return ends.ends().stream().map(each -> each.run().task().job()).distinct().toList();
    } else if (command instanceof ScopeCommand.Cancel cancel) {
      return List.of(cancel.job());
    }
    return List.of();
  }

  // Queues

  /**
   * Renews the queue lengths once a second.
   *
   * @param leads whether this instance decides; otherwise nothing waits here
   * @since 0.3
   */
  public void tick(ScopeLedger ledger, boolean leads, long nowMillis, long wallMillis) {
    if (nowMillis < nextGaugesMillis) {
      return;
    }
    nextGaugesMillis = nowMillis + GAUGES_MILLIS;
    Map<Integer, WaitingJobs> waiting = leads ? waitingByPriority(ledger) : Map.of();
    waitingJobs.register(rows(waiting, each -> each.jobs), true);
    longestWait.register(
        rows(waiting, each -> Math.max(0, wallMillis - each.oldestMillis) / MILLIS_PER_SECOND),
        true);
  }

  private static Map<Integer, WaitingJobs> waitingByPriority(ScopeLedger ledger) {
    Map<Integer, WaitingJobs> found = new TreeMap<>();
    for (QueueName queue : ledger.queuesWithQueuedJobs()) {
      WaitingJobs same =
          found.computeIfAbsent(ledger.configuration().priorityOf(queue), key -> new WaitingJobs());
      same.jobs += ledger.queuedJobs(queue);
      same.oldestMillis =
          Math.min(same.oldestMillis, ledger.oldestQueuedMillis(queue).orElse(Long.MAX_VALUE));
    }
    return found;
  }

  private static List<MultiGauge.Row<?>> rows(
      Map<Integer, WaitingJobs> waiting, java.util.function.ToDoubleFunction<WaitingJobs> figure) {
    return waiting.entrySet().stream()
        .<MultiGauge.Row<?>>map(
            each ->
                MultiGauge.Row.of(
                    Tags.of("priority", each.getKey().toString()),
                    figure.applyAsDouble(each.getValue())))
        .toList();
  }
}
