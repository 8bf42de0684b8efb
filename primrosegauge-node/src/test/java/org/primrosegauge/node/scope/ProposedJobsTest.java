package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.primrosegauge.core.JobId;

class ProposedJobsTest {

  private static final JobId JOB = new JobId("job");

  private final ProposedJobs jobs = new ProposedJobs();

  /** A job that an overloaded log refused passed for one on its way as long as the term lasted. */
  @Test
  void failedProposalIsNotInFlight() {
    jobs.proposed(JOB);
    assertThat(jobs.contains(JOB)).isTrue();
    jobs.failed(JOB);
    assertThat(jobs.contains(JOB)).isFalse();
  }

  /** The earlier of two tries may be accepted yet when the later one is refused. */
  @Test
  void firstProposalStaysInFlightWhenSecondFails() {
    jobs.proposed(JOB);
    jobs.proposed(JOB);
    jobs.failed(JOB);
    assertThat(jobs.contains(JOB)).isTrue();
    jobs.applied(JOB);
    assertThat(jobs.contains(JOB)).isFalse();
    jobs.failed(JOB);
    assertThat(jobs.contains(JOB)).isFalse();
  }
}
