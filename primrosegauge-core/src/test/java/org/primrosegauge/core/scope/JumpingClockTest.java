package org.primrosegauge.core.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;

/**
 * Guards against jobs that are forgotten when the leader's wall clock jumps: their state could not
 * be read, and a repeated submission was accepted as a new job and started again.
 */
class JumpingClockTest {

  private static final long RETENTION_MILLIS = 600_000;
  private static final long START_MILLIS = 1_700_000_000_000L;
  private static final JobId ENDED = new JobId("00aa");
  private static final long SECOND_MILLIS = 1_000;

  private ScopeLedger ledger = new ScopeLedger(RETENTION_MILLIS);
  private int submitted;

  private void submit(JobId id, long atMillis) {
    StepSpec step = StepSpec.builder(1).task(new Resources(1_000, 100, 1)).build();
    ledger.apply(
        new ScopeCommand.Submit(
            new ScopeJob(
                id,
                new QueueName("q"),
                new ServiceId("pool"),
                new CustomerId("c1"),
                3,
                atMillis,
                "payload",
                List.of(step),
                Recurrence.NONE)));
  }

  private void submitAnother(long atMillis) {
    submit(new JobId("%04x".formatted(0x1000 + submitted++)), atMillis);
  }

  private void endJob() {
    submit(ENDED, START_MILLIS);
    ledger.apply(new ScopeCommand.Cancel(ENDED, START_MILLIS + SECOND_MILLIS));
  }

  private void reopen() {
    ScopeSnapshot snapshot = ledger.snapshot();
    ledger = new ScopeLedger(RETENTION_MILLIS);
    ledger.restore(snapshot);
  }

  @ParameterizedTest
  @CsvSource({
    "600002, false",
    "3600000, false",
    "86400000, false",
    "315360000000, false",
    "-3600000, false",
    "-1700000000000, false",
    "3600000, true",
    "-3600000, true"
  })
  void endedJobIsForgottenWhenTheClockJumps(long jumpMillis, boolean isReopened) {
    endJob();
    if (isReopened) {
      reopen();
    }
    submitAnother(START_MILLIS + jumpMillis);
    assertThat(ledger.job(ENDED)).isPresent();
    submitAnother(START_MILLIS + 2 * SECOND_MILLIS);
    assertThat(ledger.job(ENDED)).isPresent();
    submitAnother(START_MILLIS + jumpMillis);
    assertThat(ledger.job(ENDED)).isPresent();
  }

  /** The job ends at the time of a clock that is ahead, which is set right afterwards. */
  @ParameterizedTest
  @ValueSource(longs = {3_600_000, 86_400_000})
  void jobThatEndedWhileTheClockWasAheadExpires(long aheadMillis) {
    submit(ENDED, START_MILLIS);
    ledger.apply(new ScopeCommand.Cancel(ENDED, START_MILLIS + aheadMillis));
    long now = START_MILLIS;
    for (long passed = 0; passed <= RETENTION_MILLIS; passed += SECOND_MILLIS) {
      assertThat(ledger.job(ENDED)).isPresent();
      now += SECOND_MILLIS;
      submitAnother(now);
    }
    submitAnother(now + SECOND_MILLIS);
    submitAnother(now + 2 * SECOND_MILLIS);
    assertThat(ledger.job(ENDED)).isEmpty();
  }

  /** Such differences between the clocks of leaders are small, and may occur at each election. */
  @Test
  void endedJobOutlivesManyElectionsOfLeadersWhoseClocksDiffer() {
    endJob();
    for (int elections = 0; elections < 500; elections++) {
      submitAnother(START_MILLIS + SECOND_MILLIS + (elections % 2) * SECOND_MILLIS);
      assertThat(ledger.job(ENDED)).isPresent();
    }
  }

  @Test
  void endedJobExpiresAfterItsRetention() {
    endJob();
    reopen();
    long now = START_MILLIS + SECOND_MILLIS;
    while (now - START_MILLIS <= RETENTION_MILLIS) {
      submitAnother(now);
      assertThat(ledger.job(ENDED)).isPresent();
      now += SECOND_MILLIS;
    }
    submitAnother(now + SECOND_MILLIS);
    assertThat(ledger.job(ENDED)).isEmpty();
  }

  /** A snapshot of a release before 0.4 has no state of that clock. */
  @Test
  void jobsOfSnapshotWithoutRetentionStateAreKept() {
    endJob();
    ScopeSnapshot now = ledger.snapshot();
    ledger.restore(
        new ScopeSnapshot(
            now.configuration(),
            now.content(),
            now.removedQueues(),
            now.domainsOut(),
            now.workers(),
            now.jobs(),
            now.runTimes(),
            null,
            null));
    submitAnother(START_MILLIS + RETENTION_MILLIS / 2);
    assertThat(ledger.job(ENDED)).isPresent();
    submitAnother(START_MILLIS + 100 * RETENTION_MILLIS);
    assertThat(ledger.job(ENDED)).isPresent();
  }
}
