package org.primrosegauge.node.scope;

import static net.logstash.logback.argument.StructuredArguments.kv;

import net.logstash.logback.argument.StructuredArgument;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.ScopeEvent;
import org.primrosegauge.core.scope.ScopeResult;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.node.metrics.NodeMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts the decisions of the scheduler, the commands applied to jobs and to the scope,
 * refused calls, and changes of the leader.
 *
 * <p>Thread-safe.
 *
 * @since 0.2
 */
public final class ScopeEventLog {

  private static final Logger LOG = LoggerFactory.getLogger(ScopeEventLog.class);

  private final NodeMetrics metrics;

  /**
   * Creates the log.
   *
   * @since 0.2
   */
  public ScopeEventLog(NodeMetrics metrics) {
    this.metrics = metrics;
  }

  /**
   * Logs and counts a decision of the scheduler.
   *
   * @since 0.2
   */
  public void schedulerEvent(ScopeEvent event) {
    metrics.count("primrosegauge.scope.events", "scheduler", event.kind());
    if (event.run() != null) {
      LOG.info(
          "{} {} {} {}",
          field("event", event.kind()),
          field("run", event.run()),
          field("worker", event.worker()),
          event.detail());
    } else if (event.step() != null) {
      LOG.info(
          "{} {} {}", field("event", event.kind()), field("step", event.step()), event.detail());
    } else {
      LOG.info(
          "{} {} {}",
          field("event", event.kind()),
          field("worker", event.worker()),
          event.detail());
    }
  }

  /**
   * Logs the effect of a committed command on a job or on the scope. Placements and ends of runs
   * have scheduler events of their own.
   *
   * @param result result of the command; one that was refused is logged with the call
   * @param configuration configuration in force
   * @since 0.4
   */
  public void commandApplied(
      ScopeCommand command, ScopeResult result, ScopeConfiguration configuration) {
    boolean isRefused =
        result == ScopeResult.ID_IN_USE
            || result == ScopeResult.CANCELLED
            || result == ScopeResult.TOO_MANY_CANCELLATIONS;
    if (isRefused) {
      return;
    }
    if (command instanceof ScopeCommand.Submit submit) {
      LOG.info(
          "{} {} {} {} {} steps={}",
          field("event", "ACCEPTED"),
          field("job", submit.job().id()),
          field("queue", submit.job().queue()),
          field("customer", submit.job().customer()),
          configuration.queue(submit.job().queue()).map(ScopeEventLog::describe).orElse(""),
          submit.job().steps().stream().map(ScopeEventLog::describe).toList());
    } else if (command instanceof ScopeCommand.Cancel cancel) {
      LOG.info(
          "{} {}",
          field("event", result == ScopeResult.APPLIED ? "CANCELLED" : "CANCELLED_UNKNOWN"),
          field("job", cancel.job()));
    } else if (command instanceof ScopeCommand.Configure configure) {
      LOG.info(
          "{} revision={} queues={} customers={}",
          field("event", "CONFIGURED"),
          configure.configuration().revision(),
          configure.configuration().queues().size(),
          configure.configuration().customers().size());
    } else if (command instanceof ScopeCommand.SwitchDomain order) {
      LOG.info("{} domain={} out={}", field("event", "DOMAIN"), order.domain(), order.isOut());
    }
  }

  /** Describes the properties that determine when a job of a queue should be done. */
  private static String describe(QueueSpec queue) {
    return "priority="
        + queue.priority()
        + " slack="
        + queue.slackFactor()
        + " latency_ms="
        + queue.latencyMillis();
  }

  /** Describes the properties that determine where the tasks of a step may run. */
  private static String describe(StepSpec step) {
    StringBuilder text = new StringBuilder();
    text.append(step.count()).append('x').append(step.estimatedMillis()).append("ms");
    text.append(" cores=").append(step.task().milliCores() / 1_000.0);
    text.append(" accelerators=").append(step.task().accelerators());
    text.append(step.gang() ? " gang" : "").append(step.rackLocal() ? " rack-local" : "");
    text.append(step.checkpoints() ? " checkpoints" : "");
    text.append(step.longRunning() ? " long-running" : "");
    text.append(step.dataRack().isEmpty() ? "" : " data=" + step.dataRack());
    text.append(step.requiredLabel().isEmpty() ? "" : " label=" + step.requiredLabel());
    text.append(step.maxPerWorker() == 0 ? "" : " per-worker=" + step.maxPerWorker());
    return text.append(step.dependsOn().isEmpty() ? "" : " after=" + step.dependsOn()).toString();
  }

  /**
   * Logs an operator's order on arrival.
   *
   * @since 0.2
   */
  public void operatorOrder(String action, String detail) {
    LOG.info("{} order={} {}", field("event", "OPERATOR_ORDER"), action, detail);
  }

  /**
   * Logs and counts a refused call.
   *
   * @since 0.2
   */
  public void refused(ScopeRefusal reason, CallerAddress address) {
    metrics.refused("scope", reason);
    LOG.info(
        "{} {} host={} path={}",
        field("event", "REFUSED"),
        field("reason", reason),
        address.host(),
        address.path());
  }

  /**
   * Logs and counts a command that was refused because of its size.
   *
   * @param bytes size of the command, in bytes
   * @since 0.4
   */
  public void tooLarge(ScopeCommand command, int bytes) {
    metrics.refused("scope", ScopeRefusal.TOO_LARGE);
    LOG.info(
        "{} {} command={} bytes={} max_bytes={}",
        field("event", "REFUSED"),
        field("reason", ScopeRefusal.TOO_LARGE),
        command.getClass().getSimpleName(),
        bytes,
        LogEntry.MAX_COMMAND_BYTES);
  }

  /**
   * Logs a change of the leader.
   *
   * @since 0.2
   */
  public void leaderChanged(InstanceId leader, Term term) {
    LOG.info("{} leader={} term={}", field("event", "LEADER"), leader, term);
  }

  /**
   * Logs that the scheduler at this instance starts or stops leading.
   *
   * @since 0.2
   */
  public void schedulerRoleChanged(boolean isLeading, Term term) {
    LOG.info("{} term={}", field("event", isLeading ? "OFFICE_TAKEN" : "OFFICE_LEFT"), term);
  }

  /**
   * Returns a field that appears both in the message and as a separate string field of the log
   * line.
   */
  private static StructuredArgument field(String name, Object value) {
    return kv(name, String.valueOf(value));
  }
}
