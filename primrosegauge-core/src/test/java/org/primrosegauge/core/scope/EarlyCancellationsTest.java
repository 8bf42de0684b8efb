package org.primrosegauge.core.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;

/** Guards against UNASKED: a job whose submission arrived after its cancel started. */
class EarlyCancellationsTest {

  private static final long RETENTION_MILLIS = 60_000;
  private static final long START_MILLIS = 1_700_000_000_000L;
  private static final JobId JOB = new JobId("00aa");

  private ScopeLedger ledger = new ScopeLedger(RETENTION_MILLIS);

  private ScopeResult submit(JobId id, String queue, String customer, long atMillis) {
    StepSpec step = StepSpec.builder(1).task(new Resources(1_000, 100, 1)).build();
    return ledger.apply(
        new ScopeCommand.Submit(
            new ScopeJob(
                id,
                new QueueName(queue),
                new ServiceId("pool"),
                customerOrNull(customer),
                3,
                atMillis,
                "payload",
                List.of(step),
                Recurrence.NONE)));
  }

  private ScopeResult submitJob(long atMillis) {
    return submit(JOB, "q", "c1", atMillis);
  }

  private ScopeResult cancel(JobId id, String queue, String customer, long atMillis) {
    return ledger.apply(
        new ScopeCommand.Cancel(id, atMillis, new QueueName(queue), customerOrNull(customer)));
  }

  private ScopeResult cancelJob() {
    return cancel(JOB, "q", "c1", START_MILLIS);
  }

  private static CustomerId customerOrNull(String customer) {
    return customer == null ? null : new CustomerId(customer);
  }

  private void configure(long revision, String... queueNames) {
    List<QueueSpec> queues =
        Arrays.stream(queueNames)
            .map(
                name ->
                    new QueueSpec(
                        new QueueName(name),
                        "host",
                        "/a/",
                        new ServiceId("pool"),
                        1,
                        2,
                        2.0,
                        100,
                        true))
            .toList();
    ScopeConfiguration configuration =
        new ScopeConfiguration(new Revision(revision), queues, List.of(), 1_000);
    ledger.apply(new ScopeCommand.Configure(configuration, "text"));
  }

  private void reopen() {
    ScopeSnapshot snapshot = ledger.snapshot();
    ledger = new ScopeLedger(RETENTION_MILLIS);
    ledger.restore(snapshot);
  }

  @ParameterizedTest
  @CsvSource({
    "q, c1, CANCELLED",
    "q, , CANCELLED",
    "q, c2, APPLIED",
    "other, c1, APPLIED",
    "other, , APPLIED"
  })
  void jobOfTheCallerWhoCancelledItIsAccepted(String queue, String customer, ScopeResult expected) {
    assertThat(cancelJob()).isEqualTo(ScopeResult.UNKNOWN_JOB);
    assertThat(submit(JOB, queue, customer, START_MILLIS + 1)).isEqualTo(expected);
    assertThat(ledger.job(JOB).isPresent()).isEqualTo(expected == ScopeResult.APPLIED);
  }

  /** Without a key, as a public queue allows, a caller may cancel the job of any customer there. */
  @ParameterizedTest
  @ValueSource(strings = {"c1", "c2"})
  void jobThatWasCancelledWithoutKeyIsAccepted(String customer) {
    cancel(JOB, "q", null, START_MILLIS);
    assertThat(submit(JOB, "q", customer, START_MILLIS)).isEqualTo(ScopeResult.CANCELLED);
  }

  /** The caller of another customer may know the id; it is told that there is no such job. */
  @ParameterizedTest
  @CsvSource({"q, c2", "other, c1"})
  void jobOfAnotherCallerIsCancelled(String queue, String customer) {
    submitJob(START_MILLIS);
    assertThat(cancel(JOB, queue, customer, START_MILLIS)).isEqualTo(ScopeResult.UNKNOWN_JOB);
    assertThat(ledger.job(JOB).orElseThrow().status()).isEqualTo(JobStatus.QUEUED);
    assertThat(submitJob(START_MILLIS)).isEqualTo(ScopeResult.APPLIED);
  }

  @Test
  void cancelledJobIsAcceptedAfterSnapshot() {
    cancelJob();
    reopen();
    assertThat(submitJob(START_MILLIS + 1)).isEqualTo(ScopeResult.CANCELLED);
  }

  /** The submission may have been authorized under the former or the new name of the queue. */
  @ParameterizedTest
  @CsvSource({"q, false", "renamed, false", "q, true", "renamed, true"})
  void cancelledJobIsAcceptedAfterItsQueueWasRenamed(String queue, boolean isReopened) {
    configure(1, "q");
    cancelJob();
    configure(2, "renamed");
    if (isReopened) {
      reopen();
    }
    assertThat(submit(JOB, queue, "c1", START_MILLIS)).isEqualTo(ScopeResult.CANCELLED);
  }

  /** The cancel was authorized under the former name, and is applied under the new one. */
  @Test
  void cancelThatWasOvertakenByRenamingHasNoEffect() {
    configure(1, "q");
    submitJob(START_MILLIS);
    configure(2, "renamed");
    assertThat(cancelJob()).isEqualTo(ScopeResult.APPLIED);
    assertThat(ledger.job(JOB).orElseThrow().status()).isEqualTo(JobStatus.CANCELLED);
  }

  /** An id may be used again once an ended job of that id would be forgotten too. */
  @Test
  void cancelledIdIsRefusedForTheRetentionOnly() {
    cancelJob();
    long now = START_MILLIS;
    while (now + 1_000 <= START_MILLIS + RETENTION_MILLIS) {
      now += 1_000;
      assertThat(submitJob(now)).isEqualTo(ScopeResult.CANCELLED);
    }
    assertThat(submitJob(now + 1_000)).isEqualTo(ScopeResult.APPLIED);
  }

  @Test
  void secondCancelDoesNotProlongTheRefusal() {
    cancelJob();
    long half = RETENTION_MILLIS / 2;
    for (long passed = 1_000; passed <= half; passed += 1_000) {
      submitJob(START_MILLIS + passed);
    }
    cancel(JOB, "q", "c1", START_MILLIS + half);
    for (long passed = half; passed <= half + RETENTION_MILLIS; passed += 1_000) {
      assertThat(submitJob(START_MILLIS + passed)).isEqualTo(ScopeResult.CANCELLED);
    }
  }

  /** What was acknowledged holds; what there is no room for is refused. */
  @Test
  void cancellationsWithoutEndFillTheMemory() {
    for (int i = 0; i < EarlyCancellations.MAX_KEPT; i++) {
      assertThat(cancel(new JobId("%016x".formatted(i)), "q", "c1", START_MILLIS))
          .isEqualTo(ScopeResult.UNKNOWN_JOB);
    }
    assertThat(cancelJob()).isEqualTo(ScopeResult.TOO_MANY_CANCELLATIONS);
    JobId first = new JobId("%016x".formatted(0));
    assertThat(cancel(first, "q", "c1", START_MILLIS)).isEqualTo(ScopeResult.UNKNOWN_JOB);
    assertThat(submit(first, "q", "c1", START_MILLIS)).isEqualTo(ScopeResult.CANCELLED);
    for (long passed = 0; passed <= RETENTION_MILLIS; passed += 10_000) {
      submit(new JobId("%016x".formatted(1)), "q", "c1", START_MILLIS + passed);
    }
    cancel(first, "q", "c1", START_MILLIS + RETENTION_MILLIS + 10_000);
    assertThat(ledger.snapshot().cancellations()).hasSize(1);
    assertThat(cancelJob()).isEqualTo(ScopeResult.UNKNOWN_JOB);
  }
}
