package org.primrosegauge.node.scope;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.primrosegauge.core.JobId;

class ProposedJobsTest {

  private static final JobId JOB = new JobId("job");

  private final ProposedJobs jobs = new ProposedJobs();

  /**
   * Guards against a job that counts as proposed for the rest of the term after an overloaded log
   * refused its proposal.
   */
  @Test
  void failedProposalIsNotInFlight() {
    jobs.proposed(JOB);
    assertThat(jobs.contains(JOB)).isTrue();
    jobs.failed(JOB);
    assertThat(jobs.contains(JOB)).isFalse();
  }

  /** The earlier of two proposals may still be accepted after the later one has failed. */
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
