package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.scope.Placement;
import org.primrosegauge.core.scope.QueueName;
import org.primrosegauge.core.scope.QueueSpec;
import org.primrosegauge.core.scope.Recurrence;
import org.primrosegauge.core.scope.RunEnd;
import org.primrosegauge.core.scope.RunId;
import org.primrosegauge.core.scope.RunOutcome;
import org.primrosegauge.core.scope.ScopeCommand;
import org.primrosegauge.core.scope.ScopeConfiguration;
import org.primrosegauge.core.scope.ScopeJob;
import org.primrosegauge.core.scope.ScopeLedger;
import org.primrosegauge.core.scope.StartResult;
import org.primrosegauge.core.scope.StepKey;
import org.primrosegauge.core.scope.StepSpec;
import org.primrosegauge.core.scope.WorkerInfo;
import org.primrosegauge.core.scope.WorkerKey;
import org.primrosegauge.node.metrics.NodeMetrics;

class ScopeMetricsTest {

  private static final ServiceId POOL = new ServiceId("pool");
  private static final JobId JOB = new JobId("job-1");
  private static final RunId RUN = new RunId(new StepKey(JOB, 0, 0).task(0), 1);
  private static final WorkerKey WORKER = new WorkerKey(new TargetId("w1"), 1);

  private final NodeMetrics metrics = new NodeMetrics();
  private final ScopeMetrics scopeMetrics = new ScopeMetrics(metrics);
  private final ScopeLedger ledger = new ScopeLedger(60_000);

  private void apply(ScopeCommand command, long wallMillis) {
    scopeMetrics.beforeApply(command, ledger);
    ledger.apply(command);
    scopeMetrics.afterApply(ledger, wallMillis);
  }

  private void submitted() {
    QueueSpec queue =
        new QueueSpec(new QueueName("q"), "host", "/q/", POOL, 2, 3, 3.0, 1_000, true);
    apply(
        new ScopeCommand.Configure(
            new ScopeConfiguration(new Revision(1), List.of(queue), List.of(), 1_000), "text"),
        0);
    Resources one = new Resources(1_000, 10, 1);
    apply(
        new ScopeCommand.SeeWorker(
            new WorkerInfo(
                WORKER,
                new HostPort("10.0.0.1", 80),
                POOL,
                new FailureDomainId("d"),
                one,
                List.of("r1"),
                "r1")),
        0);
    apply(
        new ScopeCommand.Submit(
            new ScopeJob(
                JOB,
                new QueueName("q"),
                POOL,
                new CustomerId("depot"),
                3,
                10_000,
                "payload",
                List.of(StepSpec.builder(1).task(one).estimatedMillis(100).build()),
                Recurrence.NONE)),
        10_000);
  }

  @Test
  void jobWaitAndCompletionTimesAreRecordedByPriority() {
    submitted();
    apply(new ScopeCommand.Place(List.of(new Placement(RUN, WORKER))), 10_400);
    apply(
        new ScopeCommand.RecordEnds(
            WORKER, 1, List.of(new RunEnd(RUN, RunOutcome.DONE, "")), 13_000),
        13_000);
    String text = metrics.prometheusText();
    assertThat(text).contains("primrosegauge_job_wait_seconds_sum{outcome=\"running\"");
    assertThat(text).contains("where=\"priority-2\"} 0.4");
    assertThat(text).contains("primrosegauge_job_time_seconds_sum{outcome=\"completed\"");
    assertThat(text).contains("where=\"priority-2\"} 3.0");
    assertThat(text).contains("le=\"0.5\"");
  }

  @Test
  void queueGaugesAreReportedByPriorityOnLeaderOnly() {
    submitted();
    scopeMetrics.tick(ledger, true, 0, 12_500);
    assertThat(metrics.prometheusText())
        .contains("primrosegauge_scope_waiting_longest_seconds{priority=\"2\"} 2.5");
    scopeMetrics.tick(ledger, false, 1_000, 13_500);
    assertThat(metrics.prometheusText())
        .doesNotContain("primrosegauge_scope_waiting_jobs{priority=\"2\"}");
  }

  @Test
  void workerCallsAreTimedByOutcome() {
    scopeMetrics.recordWorkerCall("start", StartResult.NO_ROOM, 30);
    assertThat(metrics.prometheusText())
        .contains("primrosegauge_worker_call_seconds_count{outcome=\"no-room\",where=\"start\"} 1");
  }
}
