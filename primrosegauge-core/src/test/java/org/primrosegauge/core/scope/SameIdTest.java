package org.primrosegauge.core.scope;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.ServiceId;
import org.primrosegauge.core.job.Resources;

/** Guards against LOST: of two jobs with one id both were acknowledged, and one was stored. */
class SameIdTest {

  private static ScopeCommand submission(String queue, String customer) {
    StepSpec step = StepSpec.builder(1).task(new Resources(1_000, 100, 1)).build();
    return new ScopeCommand.Submit(
        new ScopeJob(
            new JobId("00aa"),
            new QueueName(queue),
            new ServiceId("pool"),
            customer == null ? null : new CustomerId(customer),
            3,
            1_000,
            "payload",
            List.of(step),
            Recurrence.NONE));
  }

  /** Two submissions whose proposals were in flight at the same time. */
  @ParameterizedTest
  @CsvSource({
    "q, c1, APPLIED",
    "q, , APPLIED",
    "q, c2, ID_IN_USE",
    "other, c1, ID_IN_USE",
    "other, , ID_IN_USE"
  })
  void secondJobWithTheSameIdIsRefused(String queue, String customer, ScopeResult expected) {
    ScopeLedger ledger = new ScopeLedger(60_000);
    assertThat(ledger.apply(submission("q", "c1"))).isEqualTo(ScopeResult.APPLIED);
    assertThat(ledger.apply(submission(queue, customer))).isEqualTo(expected);
    assertThat(ledger.jobs()).hasSize(1);
  }
}
