package org.primrosegauge.core.scope;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeout;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.job.Resources;

/**
 * Guards against LOST: a job with many due times in the past had the leader create the records of
 * all of them in one pass. Each leader in turn ran out of memory or lost its lease.
 */
class PastOccurrencesTest {

  private static final int WORKERS = 6;
  private static final Resources SMALL = new Resources(1_000, 512, 0);

  /** Runs that the workers have capacity for. */
  private static final int CAPACITY = WORKERS * 64;

  /** Tasks of occurrences that have begun and wait for their first start. */
  private static final int MAX_WAITING_TASKS = 4_096;

  /** As in {@code PlanningCostTest}, for 246 workers. */
  private static final long MAX_EXAMINED = 27_000;

  private final PlannerHarness scope = new PlannerHarness(WORKERS, WORKERS);

  private static StepSpec step(int count) {
    return StepSpec.builder(count).task(SMALL).estimatedMillis(200).build();
  }

  @ParameterizedTest
  @CsvSource({
    "1000000, 60000, 1",
    "1000000, 0, 1",
    "2147483647, 1, 1",
    "1000000, 1, 10",
    "100000, 1, 1000"
  })
  void recordsAndWorkAreBoundedWhateverIsDue(int occurrences, long intervalMillis, int tasks) {
    scope.submit("plain", 1, 0, step(3));
    scope.submit("past", 2, 0, new Recurrence(0, intervalMillis, occurrences), step(tasks));
    scope.resetStatistics();
    for (int i = 0; i < 50; i++) {
      scope.runPass(200);
      scope.endAllRuns();
    }
    int records = scope.job("past").occurrences().size() * tasks;
    assertThat(records).isAtMost(CAPACITY * tasks + MAX_WAITING_TASKS);
    assertThat(scope.maxExamined()).isLessThan(MAX_EXAMINED);
    assertThat(scope.job("plain").status()).isNotEqualTo(JobStatus.QUEUED);
  }

  @Test
  void eachOccurrenceRunsOnce() {
    int occurrences = 1_500;
    scope.submit("past", 2, 0, new Recurrence(0, 1, occurrences), step(1));
    long passes = 0;
    while (!scope.job("past").status().isFinal() && passes < occurrences) {
      scope.runPass(200);
      scope.endAllRuns();
      passes++;
      if (passes % 7 == 0) {
        scope.restoreSnapshot();
      }
    }
    assertThat(scope.job("past").status()).isEqualTo(JobStatus.COMPLETED);
    assertThat(scope.placed()).hasSize(occurrences);
  }

  @Test
  void laterOccurrencesBeginWhileEarlierOnesWaitForWorkers() {
    StepSpec impossible =
        StepSpec.builder(1).task(SMALL).requiredLabel("none").dependsOn(List.of(0)).build();
    scope.submit("past", 2, 0, new Recurrence(0, 1, 500), step(1), impossible);
    for (int i = 0; i < 40; i++) {
      scope.runPass(200);
      scope.endAllRuns();
    }
    assertThat(scope.placed()).hasSize(500);
  }

  /** Occurrences 1 and 3 are done, 2 has begun; 0 had not begun when the snapshot was taken. */
  @Test
  void snapshotOfAnEarlierReleaseIsRead() {
    ScopeJob job =
        new ScopeJob(
            new JobId("past"),
            new QueueName("q2"),
            PlannerHarness.POOL,
            new CustomerId("c0"),
            3,
            0,
            "",
            List.of(step(1)),
            new Recurrence(0, 1, 6));
    ScopeSnapshot.StepState begun =
        new ScopeSnapshot.StepState(
            Collections.nCopies(1, new ScopeSnapshot.TaskState(false, 0, 4, "", 0, null)), 0, 0);
    JobEntry entry =
        new ScopeSnapshot.JobState(
                job,
                JobStatus.RUNNING,
                Set.of(1, 3),
                0,
                0,
                0,
                List.of(new ScopeSnapshot.OccurrenceState(2, List.of(begun))))
            .toEntry();
    assertThat(entry.begunOccurrences()).isEqualTo(4);
    assertThat(entry.occurrences().keySet()).containsExactly(0, 2);
    assertThat(entry.occurrence(2).get(0).lastAttempt()).isEqualTo(4);
    assertThat(entry.isDone(1) && entry.isDone(3)).isTrue();
  }

  /** The same with steps in place of occurrences: 21,000 fit into the body of a submission. */
  @Test
  void jobOfManyStepsIsPlannedInTime() {
    StepSpec[] steps = Collections.nCopies(21_000, step(1)).toArray(StepSpec[]::new);
    scope.submit("wide", 1, 0, steps);
    assertTimeout(
        Duration.ofSeconds(5),
        () -> {
          scope.runPass(200);
          scope.endAllRuns();
          scope.runPass(200);
        });
  }
}
