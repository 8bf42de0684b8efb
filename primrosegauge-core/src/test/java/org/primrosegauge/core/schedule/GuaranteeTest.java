package org.primrosegauge.core.schedule;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.primrosegauge.core.ConflictException;
import org.primrosegauge.core.CustomerId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.RegionId;
import org.primrosegauge.core.job.JobPhase;
import org.primrosegauge.core.job.JobSpec;
import org.primrosegauge.core.job.Resources;
import org.primrosegauge.core.schedule.cfg.SchedulingPolicy;
import org.primrosegauge.core.site.Adjacency;
import org.primrosegauge.core.site.BlockShape;
import org.primrosegauge.core.site.Customer;
import org.primrosegauge.core.site.FailureDomain;
import org.primrosegauge.core.site.Guarantee;
import org.primrosegauge.core.site.SiteConfiguration;

class GuaranteeTest {

  private static final long URGENT_BOUND_MILLIS = 6_700;
  private static final long TICK_MILLIS = 250;

  private final SiteModel site = SiteModel.ready(SchedulingPolicy.DEFAULT, 4, 2);

  @BeforeEach
  void configure() {
    Guarantee guarantee = guarantee("hotel", new BlockShape(1, 16, Adjacency.RACK));
    site.apply(site.scheduler.configurationChanged(configuration(guarantee), site.now));
  }

  @Test
  void claimTakesWholeRackBackFromBorrowers() {
    for (int i = 0; i < 32; i++) {
      site.submit(job("small" + i, "other", 1, 1, true, false));
    }
    site.answerAll();
    assertThat(site.running).hasSize(32);
    JobSpec claim = job("claim", "hotel", 2, 8, true, false);
    site.submit(claim);
    site.answerAll();
    assertThat(site.phase(claim)).isEqualTo(JobPhase.RUNNING);
    assertThat(site.running).hasSize(16 + 2);
  }

  @Test
  void workThatCannotBeTakenBackLeavesTheGuaranteePackable() {
    for (int i = 0; i < 4; i++) {
      site.submit(job("firm" + i, "other", 1, 8, false, false));
    }
    site.answerAll();
    assertThat(site.running).hasSize(2);
    JobSpec claim = job("claim", "hotel", 2, 8, false, false);
    site.submit(claim);
    site.answerAll();
    assertThat(site.phase(claim)).isEqualTo(JobPhase.RUNNING);
  }

  @Test
  void secondJobUsesWhatTheFirstLeavesOfItsBlock() {
    for (int i = 0; i < 2; i++) {
      site.submit(job("half" + i, "hotel", 1, 8, false, false));
    }
    for (int i = 0; i < 4; i++) {
      site.submit(job("firm" + i, "other", 1, 8, false, false));
    }
    site.answerAll();
    assertThat(site.running).hasSize(4);
    assertThat(site.phase(job("half1", "hotel", 1, 8, false, false))).isEqualTo(JobPhase.RUNNING);
  }

  @Test
  void lostCapacityIsReportedBeforeTheClaim() {
    site.lose(0);
    site.lose(2);
    assertThat(missing()).containsExactly(1);
    site.announce(0, 2);
    assertThat(missing()).containsExactly(0);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void urgentWorkStartsInTimeEvenWhenCheckpointsHang(boolean answersCheckpoints) {
    for (int i = 0; i < 32; i++) {
      site.submit(job("small" + i, "other", 1, 1, true, false));
    }
    site.answerAll();
    JobSpec urgent = job("urgent", "other", 4, 8, true, true);
    long submitted = site.now;
    site.submit(urgent);
    while (site.phase(urgent) != JobPhase.RUNNING && site.now - submitted < 20_000) {
      site.advance(TICK_MILLIS);
      site.answerAllExceptCheckpoints(answersCheckpoints);
    }
    assertThat(site.phase(urgent)).isEqualTo(JobPhase.RUNNING);
    assertThat(site.now - submitted).isAtMost(URGENT_BOUND_MILLIS);
  }

  @Test
  void quotaIsNotExceeded() {
    SiteConfiguration limited =
        new SiteConfiguration(
            List.of(),
            List.of(),
            List.of(new Customer(new CustomerId("other"), 8, 1)),
            List.of(),
            List.of());
    site.apply(site.scheduler.configurationChanged(limited, site.now));
    for (int i = 0; i < 3; i++) {
      site.submit(job("small" + i, "other", 1, 4, true, false));
    }
    site.answerAll();
    assertThat(site.running).hasSize(2);
    assertThat(site.scheduler.explain(new JobId("small2"), site.now).orElseThrow().reason())
        .isEqualTo(JobReason.WAITS_QUOTA);
  }

  @ParameterizedTest
  @CsvSource({"2,16,RACK,true", "3,16,RACK,false", "4,8,WORKER,true", "5,8,WORKER,false"})
  void overcommitIsRefusedNamingTheClash(int blocks, int each, Adjacency adjacency, boolean fits)
      throws ConflictException {
    Guarantee guarantee = guarantee("hotel", new BlockShape(blocks, each, adjacency));
    if (fits) {
      GuaranteeCheck.verify(configuration(guarantee));
      return;
    }
    ConflictException clash =
        assertThrows(
            ConflictException.class, () -> GuaranteeCheck.verify(configuration(guarantee)));
    assertThat(clash).hasMessageThat().contains("for customer hotel");
  }

  private List<Integer> missing() {
    return site.last.stream()
        .filter(SchedulerAction.GuaranteeChanged.class::isInstance)
        .map(action -> ((SchedulerAction.GuaranteeChanged) action).missingBlocks())
        .toList();
  }

  private static SiteConfiguration configuration(Guarantee guarantee) {
    FailureDomain domain =
        new FailureDomain(SiteModel.KLANG, new RegionId("semenanjung"), 4, 2, 8, 64, 250_000);
    List<Customer> customers =
        List.of(
            new Customer(new CustomerId("hotel"), 0, 1),
            new Customer(new CustomerId("other"), 0, 1));
    return new SiteConfiguration(
        List.of(), List.of(domain), customers, List.of(guarantee), List.of());
  }

  private static Guarantee guarantee(String customer, BlockShape shape) {
    return new Guarantee(new CustomerId(customer), SiteModel.KLANG, shape);
  }

  private static JobSpec job(
      String id, String customer, int tasks, int each, boolean preemptible, boolean urgent) {
    return new JobSpec(
        new JobId(id),
        new CustomerId(customer),
        tasks,
        new Resources(1_000, 1_000, each),
        Adjacency.DOMAIN,
        false,
        urgent,
        preemptible,
        true,
        0,
        0,
        "run");
  }
}
