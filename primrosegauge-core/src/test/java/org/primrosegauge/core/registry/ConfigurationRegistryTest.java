package org.primrosegauge.core.registry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.ExecutionStatus;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.JobId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.Term;
import org.primrosegauge.core.keeper.QuorumResult.Outcome;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;
import org.primrosegauge.core.registry.RegistryCommand.AcquireKeeper;
import org.primrosegauge.core.registry.RegistryCommand.ApplyConfiguration;
import org.primrosegauge.core.registry.RegistryCommand.ConfigureKeepers;
import org.primrosegauge.core.registry.RegistryCommand.PutClaim;
import org.primrosegauge.core.registry.RegistryCommand.PutJob;
import org.primrosegauge.core.registry.RegistryCommand.RenewKeeper;
import org.primrosegauge.core.registry.RegistryCommand.SettleClaim;
import org.primrosegauge.core.registry.RegistryCommand.SwitchDomain;
import org.primrosegauge.core.registry.RegistryResult.ClaimHeld;
import org.primrosegauge.core.registry.RegistryResult.ClaimSettled;
import org.primrosegauge.core.registry.RegistryResult.ConfigurationAccepted;
import org.primrosegauge.core.registry.RegistryResult.JobRecorded;
import org.primrosegauge.core.registry.RegistryResult.KeeperDecided;
import org.primrosegauge.core.registry.RegistryResult.LimitReached;
import org.primrosegauge.core.registry.RegistryResult.RequestIdReused;
import org.primrosegauge.core.registry.RegistryResult.RevisionConflict;
import org.primrosegauge.core.registry.cfg.RegistrySettings;
import org.primrosegauge.core.site.DomainSwitch;

class ConfigurationRegistryTest {

  private static final RegistrySettings SETTINGS =
      RegistrySettings.DEFAULT.withResultLimits(1_000, 10, 3).withRecordLimits(1_000, 2, 2);
  private static final KeeperSettings KEEPER_SETTINGS = KeeperSettings.DEFAULT;
  private static final FailureDomainId KLANG = new FailureDomainId("klang");
  private static final InstanceId FIRST = new InstanceId("klang-1");
  private static final InstanceId SECOND = new InstanceId("klang-2");

  private final ConfigurationRegistry registry =
      new ConfigurationRegistry(SETTINGS, KEEPER_SETTINGS);

  private static ApplyConfiguration applyConfiguration(String id, long expected, String content) {
    return new ApplyConfiguration(
        new RequestId(id), new Revision(expected), ContentDigest.of(content), content, "aina");
  }

  private void restoreFromSnapshot() {
    RegistrySnapshot snapshot = registry.snapshot();
    registry.restore(snapshot);
    assertThat(registry.snapshot()).isEqualTo(snapshot);
  }

  @Test
  void repeatedCommandReturnsFirstResultAfterRestore() {
    RegistryResult first = registry.apply(applyConfiguration("r1", 0, "a = 1"), 10);
    registry.apply(applyConfiguration("r2", 1, "a = 2"), 20);
    restoreFromSnapshot();
    assertThat(first)
        .isEqualTo(new ConfigurationAccepted(new Revision(1), ContentDigest.of("a = 1")));
    assertThat(registry.apply(applyConfiguration("r1", 0, "a = 1"), 30)).isEqualTo(first);
    assertThat(registry.accepted().content()).isEqualTo("a = 2");
  }

  @Test
  void staleExpectedRevisionIsRejectedWithAcceptedRevision() {
    registry.apply(applyConfiguration("r1", 0, "a = 1"), 10);
    RegistryResult rejection = registry.apply(applyConfiguration("r2", 0, "a = 2"), 20);
    assertThat(rejection)
        .isEqualTo(new RevisionConflict(Revision.NONE, new Revision(1), ContentDigest.of("a = 1")));
    registry.apply(applyConfiguration("r3", 1, "a = 3"), 30);
    assertThat(registry.apply(applyConfiguration("r2", 0, "a = 2"), 40)).isEqualTo(rejection);
  }

  @Test
  void reusedRequestIdIsRejected() {
    registry.apply(applyConfiguration("r1", 0, "a = 1"), 10);
    assertThat(registry.apply(applyConfiguration("r1", 1, "a = 2"), 20))
        .isEqualTo(new RequestIdReused(ContentDigest.of("a = 1")));
    assertThat(registry.accepted().revision()).isEqualTo(new Revision(1));
  }

  @Test
  void historyIsBoundedAndRevisionsContinue() {
    for (int i = 0; i < 5; i++) {
      registry.apply(applyConfiguration("r" + i, i, "a = " + i), i);
    }
    assertThat(registry.history().stream().map(entry -> entry.revision().number()))
        .containsExactly(3L, 4L, 5L)
        .inOrder();
  }

  @ParameterizedTest
  @CsvSource({
    "1, true, 2, false, false",
    "2, true, 1, false, true",
    "1, true, 1, false, true",
    "1, false, 1, true, true"
  })
  void higherRevisionWinsAndOutOfServiceWinsOnTie(
      long firstRevision, boolean firstOut, long secondRevision, boolean secondOut, boolean isOut) {
    registry.apply(switchDomain("r1", firstRevision, firstOut), 1);
    registry.apply(switchDomain("r2", secondRevision, secondOut), 2);
    restoreFromSnapshot();
    assertThat(registry.switches().get(0).out()).isEqualTo(isOut);
  }

  private static SwitchDomain switchDomain(String id, long revision, boolean out) {
    DomainSwitch domainSwitch =
        new DomainSwitch(KLANG, out, DomainSwitch.RunningWorkPolicy.FINISH, new Revision(revision));
    return new SwitchDomain(new RequestId(id), domainSwitch, "aina");
  }

  @Test
  void firstClaimHoldsUntilItExpires() {
    ContentDigest key = ContentDigest.of("key");
    PutClaim first = claimOf(key, FIRST, "r1");
    PutClaim second = claimOf(key, SECOND, "r2");
    assertThat(registry.apply(first, 10)).isInstanceOf(ClaimHeld.class);
    restoreFromSnapshot();
    ClaimHeld held = (ClaimHeld) registry.apply(second, 109);
    assertThat(held.claim().claimant()).isEqualTo(FIRST);
    assertThat(held.isFirst()).isFalse();
    assertThat(((ClaimHeld) registry.apply(second, 110)).isFirst()).isTrue();
  }

  private static PutClaim claimOf(ContentDigest key, InstanceId claimant, String request) {
    return new PutClaim(key, ContentDigest.of("body"), claimant, new RequestId(request), 100);
  }

  @Test
  void repeatedClaimIsIdempotentAndOtherRequestsAreRejected() {
    ContentDigest key = ContentDigest.of("key");
    registry.apply(claimOf(key, FIRST, "r1"), 1);
    restoreFromSnapshot();
    assertThat(isFirst(claimOf(key, FIRST, "r1"))).isTrue();
    assertThat(isFirst(claimOf(key, FIRST, "r2"))).isFalse();
    assertThat(isFirst(claimOf(key, SECOND, "r1"))).isFalse();
    settle(key, FIRST, "r1", ExecutionStatus.RAN);
    assertThat(isFirst(claimOf(key, FIRST, "r1"))).isFalse();
  }

  private boolean isFirst(PutClaim claim) {
    return ((ClaimHeld) registry.apply(claim, 2)).isFirst();
  }

  private boolean settle(
      ContentDigest key, InstanceId claimant, String request, ExecutionStatus execution) {
    SettleClaim command = new SettleClaim(key, claimant, new RequestId(request), execution);
    return ((ClaimSettled) registry.apply(command, 2)).isRecorded();
  }

  @ParameterizedTest
  @CsvSource({
    "UNKNOWN, RAN, true, RAN",
    "UNKNOWN, NOT_RUN, true,",
    "UNKNOWN, UNKNOWN, false, UNKNOWN",
    "RAN, UNKNOWN, false, RAN",
    "RAN, NOT_RUN, false, RAN",
    "NOT_RUN, RAN, false,",
    "NOT_RUN, UNKNOWN, false,",
  })
  void knownExecutionIsNotOverwritten(
      ExecutionStatus before, ExecutionStatus after, boolean isRecorded, ExecutionStatus expected) {
    ContentDigest key = ContentDigest.of("key");
    registry.apply(claimOf(key, FIRST, "r1"), 1);
    assertThat(settle(key, SECOND, "r1", before)).isFalse();
    assertThat(settle(key, FIRST, "r2", before)).isFalse();
    assertThat(settle(key, FIRST, "r1", before)).isTrue();
    restoreFromSnapshot();
    assertThat(settle(key, FIRST, "r1", after)).isEqualTo(isRecorded);
    restoreFromSnapshot();
    Optional<ExecutionStatus> known = registry.claim(key).flatMap(Claim::execution);
    assertThat(known).isEqualTo(Optional.ofNullable(expected));
    assertThat(registry.claim(key).isPresent()).isEqualTo(expected != null);
  }

  @Test
  void releasedKeyCanBeClaimedAgainForFullRetention() {
    ContentDigest key = ContentDigest.of("key");
    registry.apply(claimOf(key, FIRST, "r1"), 0);
    settle(key, FIRST, "r1", ExecutionStatus.NOT_RUN);
    registry.apply(claimOf(key, SECOND, "r2"), 50);
    registry.apply(claimOf(ContentDigest.of("other"), FIRST, "r3"), 149);
    assertThat(registry.claim(key).map(Claim::claimant)).isEqualTo(Optional.of(SECOND));
    registry.apply(claimOf(ContentDigest.of("other"), FIRST, "r3"), 150);
    assertThat(registry.claim(key)).isEqualTo(Optional.empty());
  }

  @Test
  void claimsAreBounded() {
    for (int i = 0; i < 2; i++) {
      ContentDigest key = ContentDigest.of("key" + i);
      registry.apply(claimOf(key, FIRST, "r" + i), 1);
    }
    ContentDigest third = ContentDigest.of("third");
    assertThat(registry.apply(claimOf(third, FIRST, "r3"), 2))
        .isEqualTo(new LimitReached("max-claims"));
  }

  @Test
  void nextKeeperGetsLaterTermAfterLeaseExpires() {
    registry.apply(new ConfigureKeepers(KLANG, List.of(FIRST, SECOND)), 0);
    assertThat(outcome(new AcquireKeeper(KLANG, FIRST, Term.NONE), 0)).isEqualTo(Outcome.GRANTED);
    restoreFromSnapshot();
    long leaseMillis = KEEPER_SETTINGS.promiseMillis();
    AcquireKeeper acquisition = new AcquireKeeper(KLANG, SECOND, new Term(1));
    assertThat(outcome(acquisition, leaseMillis - 1)).isEqualTo(Outcome.LEASE_RUNNING);
    RenewKeeper renewal = new RenewKeeper(KLANG, FIRST, new Term(1));
    assertThat(outcome(renewal, leaseMillis - 1)).isEqualTo(Outcome.GRANTED);
    restoreFromSnapshot();
    assertThat(outcome(acquisition, leaseMillis)).isEqualTo(Outcome.LEASE_RUNNING);
    assertThat(outcome(acquisition, 2 * leaseMillis - 1)).isEqualTo(Outcome.GRANTED);
    assertThat(registry.keeper(KLANG).term()).isEqualTo(new Term(2));
    assertThat(outcome(renewal, 2 * leaseMillis)).isEqualTo(Outcome.STALE_TERM);
  }

  private Outcome outcome(RegistryCommand command, long logMillis) {
    return ((KeeperDecided) registry.apply(command, logMillis)).decision().outcome();
  }

  @Test
  void jobVersionsOnlyIncreaseAndFinalRecordsExpire() {
    JobId job = new JobId("j1");
    assertThat(registry.apply(putJob(job, 2, false), 0)).isEqualTo(new JobRecorded(2, true));
    assertThat(registry.apply(putJob(job, 1, true), 1)).isEqualTo(new JobRecorded(2, false));
    assertThat(registry.apply(putJob(job, 3, true), 2)).isEqualTo(new JobRecorded(3, true));
    assertThat(registry.apply(putJob(job, 4, false), 3)).isEqualTo(new JobRecorded(3, false));
    restoreFromSnapshot();
    registry.apply(putJob(new JobId("j2"), 1, false), 1_002);
    assertThat(registry.job(job)).isEmpty();
  }

  private static PutJob putJob(JobId job, long version, boolean isFinal) {
    return new PutJob(KLANG, job, version, isFinal, new byte[] {(byte) version});
  }
}
