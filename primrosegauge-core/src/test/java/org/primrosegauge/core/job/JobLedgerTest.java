package org.primrosegauge.core.job;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.ConflictException;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.job.cfg.LedgerSettings;

class JobLedgerTest {

  private static final String SEED = "20261203";
  private static final FailureDomainId KLANG = new FailureDomainId("klang");
  private static final FailureDomainId PENANG = new FailureDomainId("penang");
  private static final InstanceId B = new InstanceId("b");
  private static final InstanceId C = new InstanceId("c");
  private static final Term FIRST_TERM = new Term(1);
  private static final LedgerSettings SETTINGS = new LedgerSettings(1_000, 100, 10);
  private static final JobId PLAN = new JobId("plan");

  private final JobLedger ledger = ledger();

  @Test
  void repeatedSubmissionIsAcceptedOnceAndDifferentContentIsRejected() throws Exception {
    assertThat(ledger.accept(LedgerRecordTest.spec("plan", true, "run"), FIRST_TERM, 0)).hasSize(2);
    assertThat(ledger.accept(LedgerRecordTest.spec("plan", true, "run"), FIRST_TERM, 0)).isEmpty();
    ConflictException error =
        assertThrows(
            ConflictException.class,
            () -> ledger.accept(LedgerRecordTest.spec("plan", true, "other"), FIRST_TERM, 0));
    assertThat(error).hasMessageThat().contains("use a new id");
  }

  @Test
  void nonRepeatableJobWaitsForAllPeersOrTheLog() throws Exception {
    ledger.accept(LedgerRecordTest.spec("plan", false, "run"), FIRST_TERM, 0);
    ledger.recordStart(PLAN, 1, FIRST_TERM, 0);
    LedgerRecord started = ledger.find(PLAN).orElseThrow();
    ledger.handlePeerAcknowledgement(B, started);
    assertThat(ledger.mayStart(PLAN, 1)).isFalse();
    assertThat(ledger.replicationStatus(PLAN))
        .isEqualTo(new ReplicationStatus(ReplicationStatus.Level.PEERS, 1));
    ledger.handlePeerAcknowledgement(C, started);
    assertThat(ledger.mayStart(PLAN, 1)).isTrue();
    assertThrows(ConflictException.class, () -> ledger.recordStart(PLAN, 2, FIRST_TERM, 0));
  }

  @Test
  void repeatableGangWaitsForAllPeersOrTheLog() throws Exception {
    ledger.accept(LedgerRecordTest.spec("plan", true, "run"), FIRST_TERM, 0);
    ledger.recordStart(PLAN, 1, FIRST_TERM, 0);
    LedgerRecord started = ledger.find(PLAN).orElseThrow();
    assertThat(ledger.mayStart(PLAN, 1)).isFalse();
    ledger.handlePeerAcknowledgement(B, started);
    assertThat(ledger.mayStart(PLAN, 1)).isFalse();
    ledger.handlePeerAcknowledgement(C, started);
    assertThat(ledger.mayStart(PLAN, 1)).isTrue();
    ledger.recordStart(PLAN, 2, FIRST_TERM, 0);
    assertThat(ledger.mayStart(PLAN, 2)).isFalse();
    ledger.handleLogCommit(ledger.find(PLAN).orElseThrow(), 0);
    assertThat(ledger.mayStart(PLAN, 2)).isTrue();
  }

  @Test
  void repeatableSingleTaskStartsWithoutReplication() throws Exception {
    ledger.accept(LedgerRecordTest.spec("plan", 1, true, "run"), FIRST_TERM, 0);
    ledger.recordStart(PLAN, 1, FIRST_TERM, 0);
    assertThat(ledger.mayStart(PLAN, 1)).isTrue();
  }

  @Test
  void logCommitAloneAllowsStart() throws Exception {
    ledger.accept(LedgerRecordTest.spec("plan", false, "run"), FIRST_TERM, 0);
    ledger.recordStart(PLAN, 1, FIRST_TERM, 0);
    ledger.handleLogCommit(ledger.find(PLAN).orElseThrow(), 0);
    assertThat(ledger.mayStart(PLAN, 1)).isTrue();
    assertThat(ledger.replicationStatus(PLAN).level()).isEqualTo(ReplicationStatus.Level.SYNCED);
  }

  @Test
  void transferIsReplicatedBeforeItIsProposedAndPreventsLocalStart() throws Exception {
    ledger.accept(LedgerRecordTest.spec("plan", true, "run"), FIRST_TERM, 0);
    List<LedgerAction> first = ledger.transfer(PLAN, PENANG, FIRST_TERM, 0);
    assertThat(first.stream().allMatch(action -> action.record().home().equals(KLANG))).isTrue();
    assertThrows(ConflictException.class, () -> ledger.recordStart(PLAN, 1, FIRST_TERM, 0));
    ledger.handleLogCommit(ledger.find(PLAN).orElseThrow(), 0);
    List<LedgerAction> second = ledger.tick(100);
    LedgerRecord moved = second.get(second.size() - 1).record();
    assertThat(moved.home()).isEqualTo(PENANG);
    ledger.handleLogCommit(moved, 100);
    assertThat(ledger.find(PLAN)).hasValue(moved);
    assertThrows(ConflictException.class, () -> ledger.recordStart(PLAN, 1, FIRST_TERM, 0));
    JobLedger other = new JobLedger(PENANG, SETTINGS);
    other.merge(moved, 0);
    other.recordStart(PLAN, 1, new Term(1), 0);
    assertThat(other.mayStart(PLAN, 1)).isTrue();
  }

  @Test
  void outcomeIsKeptForRetentionPeriod() throws Exception {
    ledger.accept(LedgerRecordTest.spec("plan", true, "run"), FIRST_TERM, 0);
    ledger.finish(PLAN, new FinalOutcome(JobPhase.SUCCEEDED, ""), FIRST_TERM, 500);
    ledger.expire(1_499);
    assertThat(ledger.find(PLAN)).isPresent();
    ledger.expire(1_500);
    assertThat(ledger.find(PLAN)).isEmpty();
  }

  /**
   * Two instances take turns as keeper, under rising terms, with records lost, late and out of
   * order between them. The oracle keeps the attempts that were started and the first answers seen.
   */
  @Property(seed = SEED, tries = 200)
  void jobsSurviveDomainLeaderChanges(@ForAll @LongRange(min = 0) long schedule) throws Exception {
    Random random = new Random(schedule);
    List<JobLedger> ledgers = List.of(ledger(), ledger());
    List<LedgerRecord> underWay = new ArrayList<>();
    Map<JobId, Integer> starts = new HashMap<>();
    int keeper = 0;
    Term term = FIRST_TERM;
    for (int step = 0; step < 120; step++) {
      JobLedger office = ledgers.get(keeper);
      JobId job = new JobId("job" + random.nextInt(4));
      int choice = random.nextInt(10);
      if (choice == 0) {
        keeper = 1 - keeper;
        term = term.next();
        // A new keeper merges what the log and the workers hold before it starts anything.
        mergeAll(ledgers.get(keeper), office.records());
      } else if (choice < 5 && !underWay.isEmpty()) {
        LedgerRecord late = underWay.get(random.nextInt(underWay.size()));
        ledgers.get(random.nextInt(2)).merge(late, step);
      } else {
        performRandomWrite(office, job, choice, term, step, starts);
      }
      ledgers.forEach(some -> underWay.addAll(some.records()));
    }
    mergeAll(ledgers.get(0), underWay);
    mergeAll(ledgers.get(1), underWay);
    assertThat(ledgers.get(0).records()).isEqualTo(ledgers.get(1).records());
    assertThat(starts.values().stream().allMatch(count -> count <= 1)).isTrue();
  }

  private static void performRandomWrite(
      JobLedger office, JobId job, int choice, Term term, long now, Map<JobId, Integer> starts)
      throws PrimrosegaugeException {
    if (office.find(job).isEmpty()) {
      office.accept(LedgerRecordTest.spec(job.value(), false, "run"), term, now);
      return;
    }
    LedgerRecord before = office.find(job).orElseThrow();
    if (choice == 9) {
      office.finish(job, new FinalOutcome(JobPhase.SUCCEEDED, "at " + now), term, now);
    } else {
      tryStart(office, before, term, now, starts);
    }
    if (before.isFinal()) {
      assertThat(office.find(job).orElseThrow().answer()).isEqualTo(before.answer());
    }
  }

  private static void tryStart(
      JobLedger office, LedgerRecord record, Term term, long now, Map<JobId, Integer> starts) {
    JobId job = record.spec().id();
    int attempt = record.attempt() + 1;
    try {
      office.recordStart(job, attempt, term, now);
      office.handleLogCommit(office.find(job).orElseThrow(), now);
    } catch (PrimrosegaugeException e) {
      return;
    }
    if (office.mayStart(job, attempt)) {
      starts.merge(job, 1, Integer::sum);
    }
  }

  private static void mergeAll(JobLedger ledger, List<LedgerRecord> records) {
    records.forEach(record -> ledger.merge(record, 0));
  }

  private static JobLedger ledger() {
    JobLedger ledger = new JobLedger(KLANG, SETTINGS);
    ledger.setPeers(List.of(B, C));
    return ledger;
  }
}
