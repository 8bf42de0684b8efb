package org.primrosegauge.core.schedule;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.TaskId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.cfg.SchedulingPolicy;
import org.primrosegauge.core.site.Adjacency;
import org.primrosegauge.core.site.DomainSwitch;

class GangStartTest {

  private final SiteModel site = SiteModel.ready(SchedulingPolicy.DEFAULT, 4, 2);
  private final JobSpec gang = SiteModel.job("plan", 4, 4);

  @Test
  void startsOnlyWhenEveryWorkerReserved() {
    site.submit(gang);
    for (int i = 0; i < 3; i++) {
      site.answer(0, true);
      assertThat(site.running).isEmpty();
    }
    site.answer(0, true);
    assertThat(site.running).hasSize(4);
    site.answerAll();
    assertThat(site.phase(gang)).isEqualTo(JobPhase.RUNNING);
    site.finish(gang);
    assertThat(site.phase(gang)).isEqualTo(JobPhase.SUCCEEDED);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3})
  void refusalFreesAllAndTriesAgain(int refusing) {
    site.submit(gang);
    for (int i = 0; i < refusing; i++) {
      site.answer(0, true);
    }
    site.answer(0, false);
    assertThat(site.phase(gang)).isEqualTo(JobPhase.QUEUED);
    assertThat(site.reserved).isEmpty();
    site.advance(1_000);
    site.answerAll();
    assertThat(site.running).hasSize(4);
  }

  @Test
  void silenceFreesAll() {
    site.submit(gang);
    site.answer(0, true);
    site.advance(1_000);
    assertThat(site.phase(gang)).isEqualTo(JobPhase.QUEUED);
    assertThat(site.reserved).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"2,CANCELLED", "4,STOPPING", "6,STOPPING"})
  void cancelDuringStartLeavesNothingRunning(int answered, JobPhase phase) {
    site.submit(gang);
    for (int i = 0; i < answered; i++) {
      site.answer(0, true);
    }
    site.apply(site.scheduler.cancel(gang.id(), site.now));
    assertThat(site.phase(gang)).isEqualTo(phase);
    site.answerAll();
    assertThat(site.phase(gang)).isEqualTo(JobPhase.CANCELLED);
    assertThat(site.running).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 6, 8})
  void workerLostRestartsTheEntireGang(int answered) {
    site.submit(gang);
    for (int i = 0; i < answered; i++) {
      site.answer(0, true);
    }
    site.lose(0);
    site.answerAll();
    assertThat(site.running).isEmpty();
    site.advance(1_000);
    site.answerAll();
    assertThat(site.running).hasSize(4);
    assertThat(site.running.values()).doesNotContain(SiteModel.target(0));
  }

  @ParameterizedTest
  @CsvSource({"TASK,TASK_LOST", "WORKER,WORKER_LOST"})
  void unrepeatableJobEndsUnknown(String lost, JobReason reason) {
    JobSpec once = unrepeatable();
    site.submit(once);
    site.answerAll();
    if (lost.equals("TASK")) {
      site.end(site.running.keySet().iterator().next(), TaskOutcome.LOST);
    } else {
      int worker = Integer.parseInt(site.running.values().iterator().next().value().substring(1));
      site.lose(worker);
    }
    site.answerAll();
    site.advance(10_000);
    assertThat(site.phase(once)).isEqualTo(JobPhase.OUTCOME_UNKNOWN);
    assertThat(site.reasons.get(once.id())).isEqualTo(reason);
    assertThat(site.running).isEmpty();
  }

  @Test
  void nothingStartsInDomainThatIsOut() {
    site.submit(gang);
    for (int i = 0; i < 3; i++) {
      site.answer(0, true);
    }
    site.out = true;
    DomainSwitch order =
        new DomainSwitch(
            SiteModel.KLANG, true, DomainSwitch.RunningWorkPolicy.FINISH, new Revision(1));
    site.apply(site.scheduler.domainSwitched(order, site.now));
    site.answerAll();
    site.advance(5_000);
    assertThat(site.running).isEmpty();
    assertThat(site.scheduler.explain(gang.id(), site.now).orElseThrow().reason())
        .isEqualTo(JobReason.WAITS_DOMAIN);
  }

  @Test
  void nothingStartsAfterTheLease() {
    site.submit(gang);
    site.apply(site.scheduler.leaseGranted(new Term(1), site.now + 100, site.now));
    site.now += 100;
    site.answerAll();
    assertThat(site.running).isEmpty();
    assertThat(site.reserved).isEmpty();
    assertThat(site.phase(gang)).isEqualTo(JobPhase.QUEUED);
  }

  @ParameterizedTest
  @CsvSource({"4,RUNNING,ADOPTED", "2,STOPPING,PARTIAL_GANG"})
  void newKeeperAdoptsWholeGangsOnly(int reporting, JobPhase phase, JobReason reason) {
    site.submit(SiteModel.job("spread", 4, 8));
    site.answerAll();
    SiteModel next = new SiteModel(SchedulingPolicy.DEFAULT);
    next.running.putAll(site.running);
    next.records.putAll(site.records);
    next.apply(next.scheduler.leaseGranted(new Term(2), SiteModel.LEASE_MILLIS, 0));
    for (int i = 0; i < reporting; i++) {
      next.announce(i, 2);
    }
    assertThat(next.unanswered).isEmpty();
    next.advance(5_000);
    JobSpec spread = site.records.values().iterator().next();
    assertThat(next.phase(spread)).isEqualTo(phase);
    assertThat(next.reasons.get(spread.id())).isEqualTo(reason);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4})
  void newKeeperSendsTheMissingStarts(int sent) {
    SiteModel next = keeperLostAfter(sent, gang, JobPhase.STARTING);
    announceAll(next, 4);
    next.advance(5_000);
    next.answerAll();
    assertThat(next.running).hasSize(4);
    assertThat(next.phase(gang)).isEqualTo(JobPhase.RUNNING);
    assertThat(next.startedAttempts.getOrDefault(gang.id(), Set.of()))
        .isEqualTo(sent == 4 ? Set.of() : Set.of(1));
    next.finish(gang);
    assertThat(next.phase(gang)).isEqualTo(JobPhase.SUCCEEDED);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void tasksThatEndedBeforeTheRebuildCount(int sent) {
    SiteModel next = keeperLostAfter(sent, unrepeatable(), JobPhase.STARTING);
    for (TaskId task : List.copyOf(next.running.keySet())) {
      next.end(task, TaskOutcome.DONE);
    }
    announceAll(next, 4);
    next.advance(5_000);
    next.answerAll();
    assertThat(next.running).hasSize(4 - sent);
    next.finish(gang);
    assertThat(next.phase(gang)).isEqualTo(JobPhase.SUCCEEDED);
  }

  @Test
  void endsOfJobsNotYetOnRecordCount() {
    SiteModel next = keeperLostAfter(2, gang, null);
    next.end(next.running.keySet().iterator().next(), TaskOutcome.DONE);
    announceAll(next, 4);
    next.apply(next.scheduler.jobRestored(gang, 1, JobPhase.STARTING, next.now));
    next.advance(5_000);
    next.answerAll();
    assertThat(next.running).hasSize(3);
    assertThat(next.phase(gang)).isEqualTo(JobPhase.RUNNING);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void reservationThatIsGoneStopsTheEntireGang(int sent) {
    JobSpec once = unrepeatable();
    SiteModel next = keeperLostAfter(sent, once, JobPhase.STARTING);
    next.reserved.remove(next.reserved.keySet().iterator().next());
    announceAll(next, 4);
    next.advance(5_000);
    next.answerAll();
    assertThat(next.running).isEmpty();
    assertThat(next.reserved).isEmpty();
    assertThat(next.phase(once)).isEqualTo(JobPhase.OUTCOME_UNKNOWN);
  }

  @ParameterizedTest
  @CsvSource({"STOPPING", "RUNNING"})
  void onlyStartsOnRecordAreCompleted(JobPhase recorded) {
    JobSpec once = unrepeatable();
    SiteModel next = keeperLostAfter(2, once, recorded);
    announceAll(next, 4);
    next.advance(5_000);
    next.answerAll();
    assertThat(next.running).isEmpty();
    assertThat(next.reserved).isEmpty();
    assertThat(next.phase(once)).isEqualTo(JobPhase.OUTCOME_UNKNOWN);
  }

  @Test
  void reservationsWithoutAnyStartAreReleased() {
    SiteModel next = keeperLostAfter(0, gang, JobPhase.STARTING);
    announceAll(next, 4);
    next.advance(5_000);
    assertThat(next.reserved).isEmpty();
    next.advance(1_000);
    next.answerAll();
    assertThat(next.startedAttempts.get(gang.id())).containsExactly(2);
  }

  @Test
  void drainBeginsNothingAndFinishesTheStarts() {
    JobSpec other = SiteModel.job("other", 2, 4);
    site.submit(gang);
    for (int i = 0; i < 4; i++) {
      site.answer(0, true);
    }
    site.submit(other);
    assertThat(site.scheduler.isStarting()).isTrue();
    site.apply(site.scheduler.drain(site.now));
    site.answerAll();
    site.advance(100);
    site.answerAll();
    assertThat(site.scheduler.isStarting()).isFalse();
    assertThat(site.phase(gang)).isEqualTo(JobPhase.RUNNING);
    assertThat(site.running).hasSize(4);
    assertThat(site.reserved).isEmpty();
    assertThat(site.phase(other)).isEqualTo(JobPhase.QUEUED);
  }

  /** Returns the successor of a keeper that was lost when it had sent some starts of a gang. */
  private SiteModel keeperLostAfter(int sent, JobSpec job, JobPhase recorded) {
    site.submit(job);
    for (int i = 0; i < 4; i++) {
      site.answer(0, true);
    }
    List<SchedulerAction> starts = List.copyOf(site.unanswered);
    starts.stream().skip(sent).forEach(start -> site.unsend((SchedulerAction.Start) start));
    SiteModel next = new SiteModel(SchedulingPolicy.DEFAULT);
    next.running.putAll(site.running);
    next.reserved.putAll(site.reserved);
    next.records.putAll(site.records);
    next.apply(next.scheduler.leaseGranted(new Term(2), SiteModel.LEASE_MILLIS, 0));
    if (recorded != null) {
      next.apply(next.scheduler.jobRestored(job, 1, recorded, 0));
    }
    return next;
  }

  private static void announceAll(SiteModel site, int workers) {
    for (int i = 0; i < workers; i++) {
      site.announce(i, 2);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "1,9,DOMAIN,REFUSED_TASK_SIZE",
    "5,8,DOMAIN,REFUSED_GANG_SIZE",
    "3,8,RACK,REFUSED_ADJACENCY",
    "3,4,WORKER,REFUSED_ADJACENCY"
  })
  void refusesWorkThatCanNeverRun(int tasks, int each, Adjacency adjacency, JobReason reason) {
    JobSpec base = SiteModel.job("big", tasks, each);
    JobSpec big =
        new JobSpec(
            base.id(),
            base.customer(),
            tasks,
            new Resources(1, 1, each),
            adjacency,
            true,
            false,
            true,
            true,
            0,
            0,
            "run");
    site.submit(big);
    assertThat(site.phase(big)).isEqualTo(JobPhase.FAILED);
    assertThat(site.reasons.get(big.id())).isEqualTo(reason);
    assertThat(site.last).isEqualTo(List.of(site.last.get(0)));
  }

  private JobSpec unrepeatable() {
    return new JobSpec(
        gang.id(),
        gang.customer(),
        4,
        gang.perTask(),
        Adjacency.DOMAIN,
        false,
        false,
        true,
        false,
        0,
        0,
        "run");
  }
}
