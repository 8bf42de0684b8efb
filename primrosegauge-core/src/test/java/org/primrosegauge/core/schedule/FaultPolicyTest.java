package org.primrosegauge.core.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.cfg.SchedulingPolicy;

/** Bad workers, bad jobs and tasks that use more than they declared. */
class FaultPolicyTest {

  private final SiteModel site = SiteModel.ready(SchedulingPolicy.DEFAULT, 4, 2);

  @Test
  void workerThatFailsEveryTaskIsSetAside() {
    for (int i = 0; i < 3; i++) {
      JobSpec job = SiteModel.job("small" + i, 1, 1);
      site.submit(job);
      site.answerAll();
      site.end(placement(job).getKey(), TaskOutcome.FAILED);
    }
    site.advance(2_000);
    site.answerAll();
    assertThat(site.running).hasSize(3);
    assertThat(site.running.values()).doesNotContain(SiteModel.target(0));
  }

  @Test
  void oneBadJobSetsNoWorkerAsideAndIsGivenUp() {
    JobSpec bad = SiteModel.job("bad", 1, 8);
    site.submit(bad);
    int attempts = 0;
    while (site.phase(bad) != JobPhase.FAILED) {
      site.answerAll();
      site.end(placement(bad).getKey(), TaskOutcome.FAILED);
      site.advance(2_000);
      attempts++;
    }
    assertThat(attempts).isEqualTo(3);
    site.submit(SiteModel.job("all", 4, 8));
    site.answerAll();
    assertThat(site.running).hasSize(4);
  }

  @ParameterizedTest
  @CsvSource({"1050,0,RUNNING", "2000,1,QUEUED", "900000,0,RUNNING"})
  void borrowerAboveItsMemoryMovesWithWhatItUses(long used, int moves, JobPhase phase) {
    JobSpec job = SiteModel.job("hungry", 1, 1);
    site.submit(job);
    site.answerAll();
    Map.Entry<TaskId, TargetId> placed = placement(job);
    TaskUsage usage = new TaskUsage(placed.getKey(), new Resources(1_000, used, 1));
    WorkerReport report = new WorkerReport(placed.getValue(), List.of(usage), List.of(), 0);
    site.apply(site.scheduler.workerReported(report, site.now));
    long throttles =
        site.last.stream()
            .filter(action -> action instanceof SchedulerAction.Stop)
            .filter(action -> ((SchedulerAction.Stop) action).mode() == StopMode.THROTTLE)
            .count();
    assertThat(throttles).isEqualTo(used > 250_000 ? 1 : 0);
    site.answerAll();
    assertThat(site.phase(job)).isEqualTo(phase);
    site.advance(2_000);
    site.answerAll();
    assertThat(placement(job).getKey().attempt()).isEqualTo(1 + moves);
    assertThat(site.scheduler.explain(job.id(), site.now).orElseThrow().needed().memoryMib())
        .isEqualTo(moves > 0 ? used : 1_000);
  }

  private Map.Entry<TaskId, TargetId> placement(JobSpec job) {
    for (Map.Entry<TaskId, TargetId> entry : site.running.entrySet()) {
      if (entry.getKey().job().equals(job.id())) {
        return entry;
      }
    }
    throw new AssertionError(job.id() + " does not run");
  }
}
