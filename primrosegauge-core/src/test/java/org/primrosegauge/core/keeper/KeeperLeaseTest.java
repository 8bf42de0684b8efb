package org.primrosegauge.core.keeper;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.keeper.KeeperAction.ProposeAcquire;
import org.primrosegauge.core.keeper.KeeperAction.Send;
import org.primrosegauge.core.keeper.KeeperMessage.RefusalReason;
import org.primrosegauge.core.keeper.KeeperMessage.RenewGrant;
import org.primrosegauge.core.keeper.KeeperMessage.RenewRefusal;
import org.primrosegauge.core.keeper.KeeperMessage.RenewRequest;
import org.primrosegauge.core.keeper.QuorumResult.Outcome;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;

class KeeperLeaseTest {

  private static final FailureDomainId KLANG = new FailureDomainId("klang");
  private static final InstanceId A = new InstanceId("a");
  private static final InstanceId B = new InstanceId("b");
  private static final InstanceId C = new InstanceId("c");
  private static final KeeperSettings SETTINGS = KeeperSettings.DEFAULT;
  private static final long RECOVERED = SETTINGS.promiseMillis();
  private static final long LEASE = SETTINGS.holderMillis();

  private final KeeperOffices offices = new KeeperOffices(SETTINGS);
  private final KeeperLease lease = new KeeperLease(KLANG, A, SETTINGS, 0);

  @BeforeEach
  void configure() {
    offices.configure(KLANG, List.of(A, B, C));
    lease.officeObserved(offices.office(KLANG), 0);
  }

  @ParameterizedTest
  @CsvSource({"0,true", "2969,true", "2970,false", "60000,false"})
  void startsUntilLeaseCountedFromRequestEnds(long sinceRequest, boolean expected) {
    takeOffice(RECOVERED, 100);
    assertThat(lease.mayStart(RECOVERED + sinceRequest)).isEqualTo(expected);
  }

  @Test
  void takesNoOfficeBeforeOneLeaseAfterStart() {
    assertThat(lease.tick(RECOVERED - 1)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"b,b,false", "b,c,true", "b,d,false"})
  void peersRenewOnlyTogether(String one, String other, boolean renewed) {
    takeOffice(RECOVERED, 0);
    long round = round(lease.tick(RECOVERED + 1));
    for (String peer : List.of(one, other)) {
      lease.receive(
          new RenewGrant(KLANG, new InstanceId(peer), lease.term(), round), RECOVERED + 2);
    }
    assertThat(lease.mayStart(RECOVERED + LEASE)).isEqualTo(renewed);
  }

  @Test
  void lapsedOfficeIsNotRenewed() {
    takeOffice(RECOVERED, 0);
    long round = round(lease.tick(RECOVERED + 1));
    long late = RECOVERED + LEASE;
    lease.receive(new RenewGrant(KLANG, B, new Term(1), round), late);
    lease.receive(new RenewGrant(KLANG, C, new Term(1), round), late);
    assertThat(lease.mayStart(late)).isFalse();
    assertThat(lease.term()).isEqualTo(Term.NONE);
  }

  @Test
  void takerWaitsUntilItsOwnPromiseIsOver() {
    final ProposeAcquire proposal = proposal(lease.tick(RECOVERED));
    long promisedAt = RECOVERED + 1000;
    lease.receive(new RenewRequest(KLANG, B, Term.NONE, 7), promisedAt);
    QuorumResult result = offices.acquire(KLANG, A, proposal.expected(), 0);
    lease.acquireResult(proposal.number(), result, promisedAt + 1);
    assertThat(lease.mayStart(promisedAt + 1)).isFalse();
    lease.tick(RECOVERED + LEASE - 1);
    assertThat(lease.mayStart(RECOVERED + LEASE - 1)).isFalse();
  }

  @ParameterizedTest
  @CsvSource({"0,5,RECOVERING", "4000,0,STALE_TERM"})
  void refusesPromiseWithReason(long nowMillis, long term, RefusalReason reason) {
    if (nowMillis > 0) {
      takeOffice(RECOVERED, 0);
    }
    List<KeeperAction> actions =
        lease.receive(new RenewRequest(KLANG, B, new Term(term), 1), nowMillis);
    RenewRefusal refusal = (RenewRefusal) ((Send) actions.get(0)).message();
    assertThat(refusal.reason()).isEqualTo(reason);
  }

  @Test
  void holderAcknowledgesSetOnlyAfterOldGrantsRanOut() {
    takeOffice(RECOVERED, 0);
    offices.configure(KLANG, List.of(A, B, C, new InstanceId("d")));
    lease.officeObserved(offices.office(KLANG), RECOVERED + 10);
    assertThat(lease.tick(RECOVERED + 600).toString()).doesNotContain("AcknowledgeSet");
    renewByQuorum(RECOVERED + 2000);
    List<KeeperAction> actions = lease.tick(RECOVERED + LEASE);
    assertThat(actions).contains(new KeeperAction.AcknowledgeSet(KLANG, A, new Term(1), 2));
  }

  @Test
  void quorumChecksTermMembershipAndLease() {
    assertThat(acquire("d", 0, 0)).isEqualTo(Outcome.NOT_ELIGIBLE);
    assertThat(acquire("a", 0, 0)).isEqualTo(Outcome.GRANTED);
    assertThat(acquire("b", 0, 9000)).isEqualTo(Outcome.STALE_TERM);
    assertThat(acquire("b", 1, RECOVERED - 1)).isEqualTo(Outcome.LEASE_RUNNING);
    assertThat(acquire("b", 1, RECOVERED)).isEqualTo(Outcome.GRANTED);
    assertThat(offices.renew(KLANG, A, new Term(1), 0).outcome()).isEqualTo(Outcome.STALE_TERM);
    assertThat(new KeeperOffices(SETTINGS, offices.states()).states()).isEqualTo(offices.states());
  }

  @Test
  void setIsInForceOnceHolderOrAllOldMembersAcknowledged() {
    acquire("a", 0, 0);
    offices.configure(KLANG, List.of(A, B));
    offices.acknowledge(KLANG, B, Term.NONE, 2);
    assertThat(acquire("c", 1, 9000)).isEqualTo(Outcome.NOT_ELIGIBLE);
    assertThat(offices.office(KLANG).sets().isChanging()).isTrue();
    offices.acknowledge(KLANG, A, new Term(1), 2);
    assertThat(offices.office(KLANG).sets().active().members()).containsExactly(A, B);
    offices.configure(KLANG, List.of(A));
    offices.acknowledge(KLANG, A, Term.NONE, 3);
    offices.acknowledge(KLANG, B, Term.NONE, 3);
    assertThat(offices.office(KLANG).sets().active().members()).containsExactly(A);
  }

  private Outcome acquire(String instance, long expected, long logMillis) {
    return offices
        .acquire(KLANG, new InstanceId(instance), new Term(expected), logMillis)
        .outcome();
  }

  private void takeOffice(long nowMillis, long delayMillis) {
    ProposeAcquire proposal = proposal(lease.tick(nowMillis));
    QuorumResult result = offices.acquire(KLANG, A, proposal.expected(), 0);
    lease.acquireResult(proposal.number(), result, nowMillis + delayMillis);
  }

  private void renewByQuorum(long nowMillis) {
    for (KeeperAction action : lease.tick(nowMillis)) {
      if (action instanceof KeeperAction.ProposeRenew renewal) {
        QuorumResult result = offices.renew(KLANG, A, renewal.term(), 0);
        lease.renewResult(renewal.number(), result, nowMillis);
      }
    }
  }

  private static ProposeAcquire proposal(List<KeeperAction> actions) {
    return (ProposeAcquire) actions.get(actions.size() - 1);
  }

  private static long round(List<KeeperAction> actions) {
    return ((RenewRequest) ((Send) actions.get(0)).message()).round();
  }
}
