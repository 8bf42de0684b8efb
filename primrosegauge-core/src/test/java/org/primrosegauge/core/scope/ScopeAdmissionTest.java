package org.primrosegauge.core.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.HostPort;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.TargetId;
import org.primrosegauge.core.job.Resources;

class ScopeAdmissionTest {

  private static final ServiceId POOL = new ServiceId("pool");
  private static final Resources WORKER = new Resources(64_000, 256_000, 8);
  private static final Resources ONE = new Resources(1_000, 1_000, 1);
  private static final CustomerId GUARANTEED = new CustomerId("guaranteed");
  private static final CustomerId OTHER = new CustomerId("other");

  private final ScopeLedger ledger = new ScopeLedger(60_000);
  private int jobs;

  /** Two workers with 16 accelerators; queues of priority 0 to 2 with a slack of 2. */
  private void configureScope() {
    List<QueueSpec> queues = List.of(queue(0), queue(1), queue(2));
    List<CustomerSpec> customers =
        List.of(
            new CustomerSpec(GUARANTEED, List.of("k1"), 4), new CustomerSpec(OTHER, List.of(), 0));
    ledger.apply(
        new ScopeCommand.Configure(
            new ScopeConfiguration(new Revision(1), queues, customers, 1_000), "text"));
    for (int i = 0; i < 2; i++) {
      ledger.apply(
          new ScopeCommand.SeeWorker(
              new WorkerInfo(
                  new WorkerKey(new TargetId("w" + i), 1),
                  new HostPort("10.0.0." + i, 80),
                  POOL,
                  new FailureDomainId("d" + i),
                  WORKER,
                  List.of("r1"),
                  "r1")));
    }
  }

  private static QueueSpec queue(int priority) {
    String name = "q" + priority;
    return new QueueSpec(
        new QueueName(name), "host", "/" + name + "/", POOL, priority, 3, 2.0, 0, true);
  }

  private ScopeJob job(int priority, CustomerId customer, int tasks, long millis) {
    StepSpec step = StepSpec.builder(tasks).task(ONE).estimatedMillis(millis).build();
    return new ScopeJob(
        new JobId("job-" + jobs++),
        new QueueName("q" + priority),
        POOL,
        customer,
        3,
        0,
        "payload",
        List.of(step),
        Recurrence.NONE);
  }

  private void submitPending(int priority, int tasks, long millis) {
    ledger.apply(new ScopeCommand.Submit(job(priority, OTHER, tasks, millis)));
  }

  /** A job of 1 s is worth something for 6 s; half of the estimated wait counts. */
  @ParameterizedTest
  @CsvSource({"0, true", "80, true", "160, true", "161, false", "400, false"})
  void jobIsRejectedOnceItsEstimatedWaitIsTooLong(int secondsOfWork, boolean isAccepted) {
    configureScope();
    if (secondsOfWork > 0) {
      submitPending(1, secondsOfWork, 1_000);
    }
    OptionalLong comeBack = ScopeAdmission.retryAfterMillis(job(1, OTHER, 1, 1_000), ledger);
    assertThat(comeBack.isEmpty()).isEqualTo(isAccepted);
  }

  @ParameterizedTest
  @CsvSource({"0, true", "1, false", "2, false"})
  void onlyWorkOfTheSameOrHigherPriorityCounts(int priority, boolean isAccepted) {
    configureScope();
    submitPending(1, 400, 1_000);
    OptionalLong comeBack = ScopeAdmission.retryAfterMillis(job(priority, OTHER, 1, 1_000), ledger);
    assertThat(comeBack.isEmpty()).isEqualTo(isAccepted);
  }

  @Test
  void urgentJobOfCustomerWithGuaranteeIsNeverRejected() {
    configureScope();
    submitPending(0, 4_000, 1_000);
    assertThat(ScopeAdmission.retryAfterMillis(job(0, GUARANTEED, 1, 1_000), ledger)).isEmpty();
    assertThat(ScopeAdmission.retryAfterMillis(job(0, OTHER, 1, 1_000), ledger)).isPresent();
  }

  /** While no worker is known, nothing is known of the wait either. */
  @Test
  void scopeWithoutWorkersRejectsNoJob() {
    configureScope();
    ledger.apply(new ScopeCommand.SwitchDomain(new FailureDomainId("d0"), true));
    ledger.apply(new ScopeCommand.SwitchDomain(new FailureDomainId("d1"), true));
    submitPending(1, 4_000, 1_000);
    assertThat(ScopeAdmission.retryAfterMillis(job(1, OTHER, 1, 1_000), ledger)).isEmpty();
  }

  /** Callers return when the backlog has shrunk, spread over a quarter of that time. */
  @Test
  void retryTimesAreSpread() {
    configureScope();
    submitPending(1, 320, 1_000);
    Set<Long> times = new TreeSet<>();
    for (int i = 0; i < 50; i++) {
      times.add(ScopeAdmission.retryAfterMillis(job(1, OTHER, 1, 1_000), ledger).orElseThrow());
    }
    // 20 s of work wait; the job would be accepted with 10 s of it left.
    for (long millis : times) {
      assertThat(millis).isAtLeast(10_000);
      assertThat(millis).isAtMost(12_500);
    }
    assertThat(times.size()).isGreaterThan(40);
  }
}
